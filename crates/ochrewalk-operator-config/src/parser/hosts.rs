//! Parses `host` directives, which name IP addresses and replace a name service.

use crate::diagnostic::{line_error, LineError};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// The addresses of the file's hosts by name.
#[derive(Default)]
pub(super) struct Hosts(BTreeMap<String, IpAddr>);

impl Hosts {
    /// Adds `host NAME ADDRESS`.
    pub fn add(&mut self, name: &str, address: &str) -> Result<(), LineError> {
        let Ok(address) = address.parse::<IpAddr>() else {
            return line_error(format!("{address} is not an IP address"), "write one such as 127.0.0.21");
        };
        let before = self.0.insert(name.to_string(), address);
        if before.is_some_and(|before| before != address) {
            return line_error(format!("host {name} has two addresses"), "keep one of the two");
        }
        Ok(())
    }

    /// Parses an address and port; the address may be the name of a host.
    pub fn socket_address(&self, text: &str) -> Result<SocketAddr, LineError> {
        if let Ok(address) = text.parse::<SocketAddr>() {
            return Ok(address);
        }
        let Some((name, port)) = text.rsplit_once(':') else {
            return line_error(
                format!("{text} has no port"),
                "write ADDRESS:PORT, with an IP address or the name of a host line",
            );
        };
        let Some(port) = port.parse::<u16>().ok().filter(|port| *port > 0) else {
            return line_error(format!("{port} is not a port"), "write a port from 1 to 65535");
        };
        match self.0.get(name) {
            Some(address) => Ok(SocketAddr::new(*address, port)),
            None => line_error(
                format!("{name} is neither an address nor a host"),
                format!("add a line such as: host {name} 127.0.0.21"),
            ),
        }
    }
}
