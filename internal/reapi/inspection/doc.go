// Package inspection holds the messages of a gate's own services beside the Remote
// Execution API. Made with
//
//	protoc --go_out=. --go_opt=module=micaspindle --go-grpc_out=. --go-grpc_opt=module=micaspindle internal/reapi/inspection/*.proto
package inspection
