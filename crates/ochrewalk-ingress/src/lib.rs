//! What the ingress decides before the decision module hears of anything: who may connect, which method a request
//! stands for, what is wrong with it, and whose connection makes room for another. No sockets, no clock.

pub mod allowed_peers;
pub mod connection_budget;
pub mod judge;
pub mod routes;
