//! A fake state service with the keys of one replicated log. It uses neither clock nor network.

use cometlead_queues::replicated_log::{
    ClosedSegment, CompareAndSwap, OpenSegment, StateRequest, StateResponse,
};
use std::collections::BTreeMap;

/// Closed segments per page; small, so that tests read several pages.
const MAX_SEGMENTS_PER_PAGE: usize = 3;

pub struct FakeStateService {
    /// Texts of the closed segments by number.
    pub closed_segments: BTreeMap<u64, String>,
    open_segment: Option<OpenSegment>,
    revision: u64,
    max_value_bytes: usize,
}

impl FakeStateService {
    /// An empty service that panics if a value is larger than `max_value_bytes`.
    pub fn new(max_value_bytes: usize) -> FakeStateService {
        FakeStateService {
            closed_segments: BTreeMap::new(),
            open_segment: None,
            revision: 0,
            max_value_bytes,
        }
    }

    pub fn respond(&mut self, request: &StateRequest) -> StateResponse {
        match request {
            StateRequest::ReadOpenSegment => StateResponse::OpenSegment(self.open_segment.clone()),
            StateRequest::ReadClosedSegments { from } => self.closed_segments_page(*from),
            StateRequest::CompareAndSwap(request) => self.compare_and_swap(request),
        }
    }

    fn closed_segments_page(&self, from: u64) -> StateResponse {
        let mut remaining = self.closed_segments.range(from..);
        let segments = remaining.by_ref().take(MAX_SEGMENTS_PER_PAGE);
        let segments = segments.map(|(number, text)| ClosedSegment {
            number: *number,
            text: text.clone(),
        });
        StateResponse::ClosedSegments {
            segments: segments.collect(),
            has_more: remaining.next().is_some(),
        }
    }

    fn compare_and_swap(&mut self, request: &CompareAndSwap) -> StateResponse {
        let revision = self.open_segment.as_ref().map_or(0, |open| open.revision);
        if revision != request.expected_revision {
            return StateResponse::Conflict;
        }
        self.check_value_size(&request.open);
        self.revision += 1;
        self.open_segment = Some(OpenSegment {
            text: request.open.clone(),
            revision: self.revision,
        });
        if let Some(ClosedSegment { number, text }) = &request.close {
            self.check_value_size(text);
            let replaced = self.closed_segments.insert(*number, text.clone());
            assert!(replaced.is_none(), "a closed segment never changes");
        }
        if let Some(number) = request.remove {
            self.closed_segments.remove(&number);
        }
        StateResponse::Applied {
            revision: self.revision,
        }
    }

    fn check_value_size(&self, text: &str) {
        assert!(
            text.len() <= self.max_value_bytes,
            "a value of {} bytes exceeds the limit",
            text.len()
        );
    }
}
