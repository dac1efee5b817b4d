//! The division of a controller's sockets.

/// How many sockets there are for each purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketPlan {
    /// Maximum number of concurrent outgoing calls.
    pub calls: usize,
    /// Idle connections to agents that are kept for further commands.
    pub idle_agent_connections: usize,
    /// Incoming connections of the server.
    pub server_connections: usize,
}

impl SocketPlan {
    /// Sockets of the listeners and of the runtime itself.
    const OWN_SOCKETS: usize = 4;
    /// Sockets for each peer: one outgoing connection, the current incoming one, and old incoming ones.
    const SOCKETS_PER_PEER: usize = 5;

    /// Divides the sockets that a controller may open.
    pub fn new(sockets: usize, peers: usize) -> SocketPlan {
        let calls = sockets / 4;
        let idle_agent_connections = sockets / 8;
        let others =
            calls + idle_agent_connections + Self::OWN_SOCKETS + peers * Self::SOCKETS_PER_PEER;
        SocketPlan {
            calls,
            idle_agent_connections,
            server_connections: sockets.saturating_sub(others).max(sockets / 2),
        }
    }
}
