package scene_test

import "github.com/dragonflyroute/dragonflyroute/protocol/acct"

const account acct.ID = "mutuelle"

const catalogue = `{"note":"scene","accounts":[{"id":"kerlann","scale":1},{"id":"mutuelle","scale":4}],"entries":[
{"name":"conseil-quick","owner":"kerlann","backend":"plume","class":"quick","version":"v1",
 "limits":{"first-token":"5s","between-tokens":"42ms","answer":"30s","max-tokens":64,"rate-per-second":400,"burst":400,"concurrent":400},
 "price-ceiling-micros-per-hour":2000000,"refund-micros":2000},
{"name":"contrat-long","owner":"kerlann","backend":"plume","class":"long","version":"v1",
 "limits":{"first-token":"5s","between-tokens":"42ms","answer":"60s","max-tokens":1024,"rate-per-second":100,"burst":100,"concurrent":100},
 "price-ceiling-micros-per-hour":2000000,"refund-micros":3000},
{"name":"caisse","owner":"kerlann","backend":"caisse","class":"call","version":"v1",
 "limits":{"answer":"10s","rate-per-second":900,"burst":900,"concurrent":900},"price-ceiling-micros-per-hour":2000000,"refund-micros":500,
 "routes":[{"name":"instalment","method":"POST","path":"/instalments","idempotent":false},{"name":"balance","method":"GET","path":"/balance","idempotent":true}]}]}`
