//! The connections that one class of clients keeps.

/// Number of a class's connections, and whether they are being reduced.
#[derive(Debug, Default)]
pub(super) struct ClassUsage {
    kept: usize,
    /// The class has too many connections: they are closed with their next responses.
    short: bool,
    closed: u64,
}

impl ClassUsage {
    /// Number of open connections.
    pub(super) fn kept(&self) -> usize {
        self.kept
    }

    /// Number of connections closed with a response since the start.
    pub(super) fn closed(&self) -> u64 {
        self.closed
    }

    /// A connection now belongs to the class.
    pub(super) fn add(&mut self) {
        self.kept += 1;
    }

    /// A connection no longer belongs to the class.
    pub(super) fn remove(&mut self) {
        self.kept -= 1;
    }

    /// Starts closing connections above `limit`, and goes on down to three quarters of it: otherwise it would start
    /// again at once. While the sockets are full, it closes them down to the guaranteed number.
    pub(super) fn update_shortage(&mut self, limit: usize, guaranteed: usize, full: bool) {
        let limit = if self.short { limit * 3 / 4 } else { limit };
        self.short = self.kept > limit || full && self.kept > guaranteed;
    }

    /// Decides and counts whether a connection is closed with its response: idle ones first, and any while the sockets
    /// are full.
    pub(super) fn close_with_response(&mut self, active: bool, full: bool) -> bool {
        let close = self.short && (full || !active);
        self.closed += u64::from(close);
        close
    }
}
