//! The listing: reading all records in pages, which a replica begins with.

use super::Phase;
use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{CallError, StateRequest, StateResponse};
use crate::storage::cell_state::CellChanges;
use crate::time::Micros;

/// Delay after a page request that failed.
const RETRY_DELAY: Micros = Micros::millis(300);

/// Delay after records of an unknown format were read.
const UNKNOWN_FORMAT_DELAY: Micros = Micros::secs(5);

/// Minimum time between two log lines about records of an unknown format.
const UNKNOWN_FORMAT_LOG_INTERVAL: Micros = Micros::secs(60);

/// When the next listing begins, and which revision makes the last one consistent.
#[derive(Debug, Default)]
pub(super) struct Listing {
    next_attempt: Micros,
    /// Revision of the newest page: the replica is inconsistent until a read has reached it.
    newest_page_revision: u64,
    unknown_format_logged: Option<Micros>,
}

impl Listing {
    /// Whether changes up to this revision make the pages consistent.
    pub(super) fn is_consistent_at(&self, revision: u64) -> bool {
        revision >= self.newest_page_revision
    }

    /// Whether an unknown format should be logged now; if so, records that it was.
    fn should_log_unknown_format(&mut self, now: Micros) -> bool {
        let logged_lately = self
            .unknown_format_logged
            .is_some_and(|logged| now.since(logged) <= UNKNOWN_FORMAT_LOG_INTERVAL);
        if !logged_lately {
            self.unknown_format_logged = Some(now);
        }
        !logged_lately
    }
}

impl Controller {
    /// Begins a listing if it is due.
    pub(super) fn drive_listing(&mut self) {
        let now = self.now.monotonic;
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
        self.budget.charge(self.now.monotonic, 0);
        self.send_state_request(Purpose::Page { first }, StateRequest::List { after });
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
            self.refuse_unknown_format();
            return;
        }
        let first = first.unwrap_or(revision);
        if next.is_some() {
            self.request_page(Some(first), next);
            return;
        }
        // Later pages may be newer than the first one: the changes since the first page are needed to make them consistent.
        self.cell.advance(first);
        self.replica.listing.newest_page_revision = revision;
        self.replica.phase = Phase::Listed;
        self.replica.watch.schedule(self.now.monotonic);
    }

    fn restart_listing(&mut self, delay: Micros) {
        self.replica.phase = Phase::Empty;
        self.replica.listing.next_attempt = self.now.monotonic + delay;
    }

    /// Records of an unknown format would be misread: they are left unchanged, and the node stays out of service.
    pub(super) fn refuse_unknown_format(&mut self) {
        if self
            .replica
            .listing
            .should_log_unknown_format(self.now.monotonic)
        {
            let found = self
                .cell
                .meta
                .value
                .as_ref()
                .map_or(0, |meta| meta.record_format);
            let understood = self.record_format;
            tracing::error!(
                found,
                understood,
                "record format unknown, node not in service"
            );
        }
        self.restart_listing(UNKNOWN_FORMAT_DELAY);
    }
}
