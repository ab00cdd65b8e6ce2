//! The address of a host: its `address`, or `ansible_host` with `ansible_port`, or its name. Host
//! names are never resolved: the platform has no name resolution.

use crate::fault::Fault;
use crate::host::PORT;
use crate::host_fields::{FieldReader, Text};
use std::net::{IpAddr, SocketAddr};

/// Reads the address. Returns `None` and reports a fault if it is missing or invalid.
pub(crate) fn read(reader: &mut FieldReader) -> Option<SocketAddr> {
    let port = read_port(reader)?;
    if let Some(address) = reader.text("address") {
        return parse_address(address, reader);
    }
    if let Some(host) = reader.text("ansible_host") {
        return parse_ansible_host(host, port, reader);
    }
    let found = address_in_name(reader.source.name, port);
    if found.is_none() {
        let fault = Fault::error(reader.source.location, "is missing")
            .field("address")
            .help("give address, or ansible_host with an IP address");
        reader.faults.add(fault);
    }
    found
}

fn read_port(reader: &mut FieldReader) -> Option<u16> {
    let Some(Text { text, location }) = reader.text("ansible_port") else {
        return Some(PORT);
    };
    let port = text.parse::<u16>().ok().filter(|port| *port > 0);
    if port.is_none() {
        let fault = Fault::error(location, "is not a port")
            .field("ansible_port")
            .value(text)
            .help("1 to 65535");
        reader.faults.add(fault);
    }
    port
}

fn parse_address(address: Text, reader: &mut FieldReader) -> Option<SocketAddr> {
    let Text { text, location } = address;
    let found: Option<SocketAddr> = text.parse().ok();
    let found = found.filter(|address| address.port() > 0);
    if found.is_none() {
        let fault = Fault::error(location, "is not an IP address and port")
            .field("address")
            .value(text)
            .help("such as 10.0.0.4:6379 or [fd00::4]:6379");
        reader.faults.add(fault);
    }
    found
}

fn parse_ansible_host(host: Text, port: u16, reader: &mut FieldReader) -> Option<SocketAddr> {
    let Text { text, location } = host;
    let found = parse_ip(text).map(|ip| SocketAddr::new(ip, port));
    if found.is_none() {
        let fault = Fault::error(location, "is not an IP address")
            .field("ansible_host")
            .value(text)
            .help("host names are not resolved");
        reader.faults.add(fault);
    }
    found
}

/// Parses the name of a host as its address.
fn address_in_name(name: &str, port: u16) -> Option<SocketAddr> {
    let address = name.parse().ok();
    address.or_else(|| Some(SocketAddr::new(parse_ip(name)?, port)))
}

fn parse_ip(text: &str) -> Option<IpAddr> {
    text.trim_start_matches('[')
        .trim_end_matches(']')
        .parse()
        .ok()
}
