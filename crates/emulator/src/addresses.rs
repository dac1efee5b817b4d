//! Addresses of the parties: each has its own address in the loopback range.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use thiserror::Error;

/// Number of machines that can be addressed in a region.
const MAX_MACHINES_PER_REGION: u64 = 190 * 250;
/// Ports that are tried. They lie below the ephemeral ports that the system assigns.
const PORT_RANGE: std::ops::Range<u16> = 21_000..29_000;

/// No port is free for a run.
#[derive(Debug, Error)]
#[error("no free port between {} and {}", PORT_RANGE.start, PORT_RANGE.end)]
pub struct NoFreePort;

/// The addresses of a run.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    port: u16,
}

impl Addresses {
    /// Finds a port that is free at the address of the first region's state service. `seed` determines which port is tried first.
    ///
    /// # Errors
    ///
    /// [`NoFreePort`] if no port is free.
    pub fn find(seed: u64) -> Result<Addresses, NoFreePort> {
        let span = u64::from(PORT_RANGE.end - PORT_RANGE.start) / 2;
        let candidates =
            (0..span).map(|i| PORT_RANGE.start + 2 * ((seed.wrapping_add(i)) % span) as u16);
        let mut free = candidates
            .map(|port| Addresses { port })
            .filter(|a| TcpListener::bind(a.state(0)).is_ok());
        free.next().ok_or(NoFreePort)
    }

    fn at(region: usize, third: u8, fourth: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 10 + region as u8, third, fourth), port)
    }

    /// Address at which a controller serves users, workers and health checks.
    pub fn controller(&self, region: usize, node: usize) -> SocketAddrV4 {
        Self::at(region, 0, node as u8 + 1, self.port)
    }

    /// Address at which a controller serves its peers.
    pub fn peer(&self, region: usize, node: usize) -> SocketAddrV4 {
        Self::at(region, 0, node as u8 + 1, self.port + 1)
    }

    /// Address of a region's state service.
    pub fn state(&self, region: usize) -> SocketAddrV4 {
        Self::at(region, 1, 1, self.port)
    }

    /// Address of a region's cloud interface.
    pub fn cloud(&self, region: usize) -> SocketAddrV4 {
        Self::at(region, 1, 2, self.port)
    }

    /// Address of a machine's worker; `None` if the machine's number is beyond the address range of the region.
    pub fn worker(&self, region: usize, machine: u64) -> Option<SocketAddrV4> {
        let (third, fourth) = (64 + machine / 250, machine % 250 + 1);
        (machine < MAX_MACHINES_PER_REGION)
            .then(|| Self::at(region, third as u8, fourth as u8, self.port))
    }
}
