//! The addresses of simulated hosts.
use crate::test_network::Host;
use std::net::{IpAddr, Ipv4Addr};

/// Returns the address of a host.
pub fn address(host: Host) -> IpAddr {
    let (subnet, number) = match host {
        Host::Sender(number) => (0, number),
        Host::Endpoint(number) => (1, number),
    };
    IpAddr::V4(Ipv4Addr::new(10, subnet, (number >> 8) as u8, (number & 0xff) as u8))
}

/// Returns the host with an address, or `None` if the address is not in a subnet of simulated hosts.
pub fn host(address: IpAddr) -> Option<Host> {
    match address {
        IpAddr::V4(v4) => {
            let [_, subnet, high, low] = v4.octets();
            let number = u32::from(high) << 8 | u32::from(low);
            match subnet {
                0 => Some(Host::Sender(number)),
                1 => Some(Host::Endpoint(number)),
                _ => None,
            }
        }
        IpAddr::V6(_) => None,
    }
}
