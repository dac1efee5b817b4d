//! The listing of all records, in pages, that a replica begins with.

use super::Phase;
use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{CallError, StateRequest, StateResponse};
use crate::storage::cell_state::CellChanges;
use crate::time::Micros;

/// Pause after a page that failed.
const RETRY_DELAY: Micros = Micros::millis(300);

/// Pause after records of an unknown layout.
const UNKNOWN_LAYOUT_DELAY: Micros = Micros::secs(5);

/// Shortest time between two log lines on records of an unknown layout.
const UNKNOWN_LAYOUT_LOG_SPACING: Micros = Micros::secs(60);

/// When the next listing begins, and what the last one needs to be consistent.
#[derive(Debug, Default)]
pub(super) struct Listing {
    next_attempt: Micros,
    /// Revision of the newest page: until a read has reached it, the replica is inconsistent.
    newest_page: u64,
    unknown_layout_logged: Option<Micros>,
}

impl Listing {
    /// Whether changes up to this revision make the pages consistent.
    pub(super) fn is_consistent_at(&self, revision: u64) -> bool {
        revision >= self.newest_page
    }

    /// Whether it is time to log an unknown layout (again); notes that it is done now.
    fn logs_unknown_layout(&mut self, now: Micros) -> bool {
        let logged_lately = self
            .unknown_layout_logged
            .is_some_and(|logged| now.since(logged) <= UNKNOWN_LAYOUT_LOG_SPACING);
        if !logged_lately {
            self.unknown_layout_logged = Some(now);
        }
        !logged_lately
    }
}

impl Controller {
    /// Begins a listing if it is due.
    pub(super) fn drive_listing(&mut self) {
        let now = self.now.steady;
        if now < self.replica.listing.next_attempt {
            self.wake_at(self.replica.listing.next_attempt);
            return;
        }
        self.cell.clear();
        self.rules.schedule_check();
        self.users.forget_absent();
        self.replica.phase = Phase::Listing;
        self.request_page(None, None);
    }

    /// `first`: revision of the first page; `after`: the last key of the page before.
    fn request_page(&mut self, first: Option<u64>, after: Option<String>) {
        self.budget.charge(self.now.steady, 0);
        self.ask_state(Purpose::Page { first }, StateRequest::List { after });
    }

    pub(in crate::coordination) fn on_page(
        &mut self,
        first: Option<u64>,
        result: Result<StateResponse, CallError>,
    ) {
        let Ok(StateResponse::Page {
            items,
            next,
            revision,
        }) = result
        else {
            self.restart_listing(RETRY_DELAY);
            return;
        };
        let mut changes_seen = CellChanges::default();
        self.cell.apply(items, &mut changes_seen);
        if self.cell.is_format_unsupported(self.record_format) {
            self.refuse_layout();
            return;
        }
        let first = first.unwrap_or(revision);
        if next.is_some() {
            self.request_page(Some(first), next);
            return;
        }
        // Later pages may be newer than the first: only the changes since the first make them consistent.
        self.cell.advance(first);
        self.replica.listing.newest_page = revision;
        self.replica.phase = Phase::Listed;
        self.replica.watch.schedule(self.now.steady);
    }

    fn restart_listing(&mut self, delay: Micros) {
        self.replica.phase = Phase::Empty;
        self.replica.listing.next_attempt = self.now.steady + delay;
    }

    /// Records of an unknown layout would be misread: they are left alone, and the node stays out of service.
    pub(super) fn refuse_layout(&mut self) {
        if self.replica.listing.logs_unknown_layout(self.now.steady) {
            let found = self
                .cell
                .meta
                .value
                .as_ref()
                .map_or(0, |meta| meta.record_format);
            let understood = self.record_format;
            tracing::error!(found, understood, "record layout unknown, not in service");
        }
        self.restart_listing(UNKNOWN_LAYOUT_DELAY);
    }
}
