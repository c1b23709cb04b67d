//! Decides what the ingress handles before a request reaches the admission module: whether a peer may connect, which
//! method a request is mapped to, whether the request is valid, and which connection is closed when the limit on
//! connections is reached. The crate uses no sockets and no clock.

pub mod allowed_peers;
pub mod connection_budget;
pub mod request_evaluation;
pub mod routes;
