// Package inspection defines the services that front ends serve in addition to the Remote
// Execution API, and their messages. It is generated with
//
//	protoc --go_out=. --go_opt=module=micaspindle --go-grpc_out=. --go-grpc_opt=module=micaspindle internal/reapi/inspection/*.proto
package inspection
