//! The connections that one class of clients keeps.

/// Number of a class's connections, and whether they are being reduced.
#[derive(Debug, Default)]
pub(super) struct ClassUsage {
    open: usize,
    /// The class has too many connections: they are closed with their next responses.
    shedding: bool,
    closed: u64,
}

impl ClassUsage {
    /// Number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open
    }

    /// Number of connections closed with a response since the start.
    pub(super) fn closed(&self) -> u64 {
        self.closed
    }

    /// A connection now belongs to the class.
    pub(super) fn add(&mut self) {
        self.open += 1;
    }

    /// A connection no longer belongs to the class.
    pub(super) fn remove(&mut self) {
        self.open -= 1;
    }

    /// Updates whether connections of the class are closed. Closing starts above `limit` connections and goes on until
    /// three quarters of it are left, because otherwise it would start again at once. While the sockets are full,
    /// connections are closed until only the guaranteed number is left.
    pub(super) fn update_shedding(&mut self, limit: usize, guaranteed: usize, full: bool) {
        let limit = if self.shedding { limit * 3 / 4 } else { limit };
        self.shedding = self.open > limit || full && self.open > guaranteed;
    }

    /// Decides and counts whether a connection is closed with its response: idle ones first, and any while the sockets
    /// are full.
    pub(super) fn close_with_response(&mut self, active: bool, full: bool) -> bool {
        let close = self.shedding && (full || !active);
        self.closed += u64::from(close);
        close
    }
}
