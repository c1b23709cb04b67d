//! What the fronts decide before the decision module hears of anything: who may connect, which method a request
//! stands for, what is wrong with it, and whose connection makes room for another. No sockets, no clock.

pub mod guests;
pub mod judge;
pub mod room;
pub mod routes;
