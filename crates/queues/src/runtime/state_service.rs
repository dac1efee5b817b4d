//! HTTP client for the state service.

use crate::replicated_log::{CompareAndSwap, StateRequest, StateResponse};
use crate::settings::StateSettings;
use crate::wire::state_service::{
    LogKeys, StateWireError, TRANSACTION_PATH, compare_and_swap_body, decode_applied_revision,
    decode_closed_segments_page, decode_open_segment,
};
use bytes::Bytes;
use reqwest::header::CONTENT_TYPE;
use reqwest::{Client, RequestBuilder};
use std::time::Duration;

/// Time limit for each request. Under load the service takes a few hundred milliseconds.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request has no usable response.
#[derive(Debug, thiserror::Error)]
enum StateServiceError {
    #[error("state service: {0}")]
    Http(#[from] reqwest::Error),
    #[error(transparent)]
    Wire(#[from] StateWireError),
    #[error("state service: unexpected status {0}")]
    UnexpectedStatus(u16),
}

/// Client for the keys of one replicated log.
#[derive(Debug)]
pub(super) struct StateClient {
    client: Client,
    address: String,
    keys: LogKeys,
}

impl StateClient {
    /// A client for the service and key prefix of the settings.
    pub fn new(client: Client, settings: &StateSettings) -> StateClient {
        StateClient {
            client,
            address: settings.address.clone(),
            keys: LogKeys::new(settings.key_prefix.clone()),
        }
    }

    /// Carries out a request of the replicated log.
    pub async fn send(&self, request: &StateRequest) -> StateResponse {
        let response = match request {
            StateRequest::ReadOpenSegment => self.read_open_segment().await,
            StateRequest::ReadClosedSegments { from } => self.read_closed_segments(*from).await,
            StateRequest::CompareAndSwap(request) => self.compare_and_swap(request).await,
        };
        response.unwrap_or_else(|error| {
            tracing::debug!(%error, "no usable response from the state service");
            StateResponse::NoResponse
        })
    }

    async fn read_open_segment(&self) -> Result<StateResponse, StateServiceError> {
        let request = self.client.get(self.url(&self.keys.open_segment_path()));
        match exchange(request).await? {
            (200, body) => Ok(StateResponse::OpenSegment(Some(decode_open_segment(
                &body,
            )?))),
            (404, _) => Ok(StateResponse::OpenSegment(None)),
            (status, _) => Err(StateServiceError::UnexpectedStatus(status)),
        }
    }

    async fn read_closed_segments(&self, from: u64) -> Result<StateResponse, StateServiceError> {
        let request = self
            .client
            .get(self.url(&self.keys.closed_segments_page_path(from)));
        match exchange(request).await? {
            (200, body) => {
                let page = decode_closed_segments_page(&body)?;
                Ok(StateResponse::ClosedSegments {
                    segments: page.segments,
                    has_more: page.has_more,
                })
            }
            (status, _) => Err(StateServiceError::UnexpectedStatus(status)),
        }
    }

    async fn compare_and_swap(
        &self,
        request: &CompareAndSwap,
    ) -> Result<StateResponse, StateServiceError> {
        let body = compare_and_swap_body(&self.keys, request)?;
        let request = self
            .client
            .post(self.url(TRANSACTION_PATH))
            .header(CONTENT_TYPE, "application/json")
            .body(body);
        match exchange(request).await? {
            (200, body) => Ok(StateResponse::Applied {
                revision: decode_applied_revision(&body)?,
            }),
            (409, _) => Ok(StateResponse::Conflict),
            (400, body) => {
                let answer = String::from_utf8_lossy(&body);
                tracing::error!(%answer, "state service refused a transaction");
                Err(StateServiceError::UnexpectedStatus(400))
            }
            (status, _) => Err(StateServiceError::UnexpectedStatus(status)),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

/// Sends a request, and returns status and body of the response.
async fn exchange(request: RequestBuilder) -> Result<(u16, Bytes), StateServiceError> {
    let response = request.timeout(REQUEST_TIMEOUT).send().await?;
    let status = response.status().as_u16();
    Ok((status, response.bytes().await?))
}
