//! A fake state service that knows the keys of one replicated log. It knows neither time nor network.

use cometlead_queues::replicated_log::{
    ClosedSegment, CompareAndSwap, OpenSegment, StateRequest, StateResponse,
};
use std::collections::BTreeMap;

/// Closed segments per page; small, so that tests need several pages.
const PAGE_SIZE: usize = 3;

pub struct FakeStateService {
    pub closed: BTreeMap<u64, String>,
    open: Option<OpenSegment>,
    revision: u64,
    max_value_bytes: usize,
}

impl FakeStateService {
    /// An empty service. It panics when a value is larger than this.
    pub fn new(max_value_bytes: usize) -> FakeStateService {
        FakeStateService {
            closed: BTreeMap::new(),
            open: None,
            revision: 0,
            max_value_bytes,
        }
    }

    pub fn respond(&mut self, request: &StateRequest) -> StateResponse {
        match request {
            StateRequest::ReadOpenSegment => StateResponse::OpenSegment(self.open.clone()),
            StateRequest::ReadClosedSegments { from } => self.page(*from),
            StateRequest::CompareAndSwap(request) => self.compare_and_swap(request),
        }
    }

    fn page(&self, from: u64) -> StateResponse {
        let mut kept = self.closed.range(from..);
        let segments = kept.by_ref().take(PAGE_SIZE);
        let segments = segments.map(|(number, text)| ClosedSegment {
            number: *number,
            text: text.clone(),
        });
        StateResponse::ClosedSegments {
            segments: segments.collect(),
            has_more: kept.next().is_some(),
        }
    }

    fn compare_and_swap(&mut self, request: &CompareAndSwap) -> StateResponse {
        let revision = self.open.as_ref().map_or(0, |open| open.revision);
        if revision != request.expected_revision {
            return StateResponse::Conflict;
        }
        self.check_size(&request.open);
        self.revision += 1;
        self.open = Some(OpenSegment {
            text: request.open.clone(),
            revision: self.revision,
        });
        if let Some(ClosedSegment { number, text }) = &request.close {
            self.check_size(text);
            let replaced = self.closed.insert(*number, text.clone());
            assert!(replaced.is_none(), "a closed segment never changes");
        }
        if let Some(number) = request.remove {
            self.closed.remove(&number);
        }
        StateResponse::Applied {
            revision: self.revision,
        }
    }

    fn check_size(&self, text: &str) {
        assert!(
            text.len() <= self.max_value_bytes,
            "a value of {} bytes",
            text.len()
        );
    }
}
