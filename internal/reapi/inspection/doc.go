// Package inspection holds the messages of the front end's own services beside the
// Remote Execution API. It is generated with
//
//	protoc --go_out=. --go_opt=module=micaspindle --go-grpc_out=. --go-grpc_opt=module=micaspindle internal/reapi/inspection/*.proto
package inspection
