//! HTTP client for the controllers' user interface.

use crate::settings::QueueSettings;
use crate::state_machine::ControllerResponse;
use crate::wire::controllers::{
    HttpResponse, RequestKind, SUBMIT_PATH, cancel_path, decode_response, status_path,
};
use reqwest::header::{CONTENT_TYPE, RETRY_AFTER};
use reqwest::{Client, RequestBuilder, Response};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time limit for submissions and cancellations: as long as other users of the interface wait.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for status queries.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A client that sends requests to one controller until a request fails, then to the next controller.
#[derive(Debug)]
pub(super) struct ControllerClient {
    client: Client,
    addresses: Vec<String>,
    /// Index of the current controller; used modulo the number of addresses.
    current: AtomicUsize,
}

impl ControllerClient {
    /// A client whose first controller follows from `process`, so that processes spread over the controllers.
    pub fn new(client: Client, settings: &QueueSettings, process: u64) -> ControllerClient {
        let addresses = settings.controllers.clone();
        let first = process % addresses.len().max(1) as u64;
        ControllerClient {
            client,
            addresses,
            current: AtomicUsize::new(usize::try_from(first).unwrap_or_default()),
        }
    }

    /// Submits a job.
    pub async fn submit(&self, body: Vec<u8>) -> ControllerResponse {
        let current = self.current.load(Ordering::Relaxed);
        let request = self
            .client
            .post(self.url(current, SUBMIT_PATH))
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .timeout(SUBMIT_TIMEOUT);
        self.send(current, request, RequestKind::SubmitOrQuery)
            .await
    }

    /// Queries the status of a job.
    pub async fn query_status(&self, job: &str) -> ControllerResponse {
        let current = self.current.load(Ordering::Relaxed);
        let url = self.url(current, &status_path(job));
        let request = self.client.get(url).timeout(QUERY_TIMEOUT);
        self.send(current, request, RequestKind::SubmitOrQuery)
            .await
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: &str) -> ControllerResponse {
        let current = self.current.load(Ordering::Relaxed);
        let url = self.url(current, &cancel_path(job));
        let request = self.client.post(url).timeout(SUBMIT_TIMEOUT);
        self.send(current, request, RequestKind::Cancel).await
    }

    fn url(&self, controller: usize, path: &str) -> String {
        let address = self.addresses.get(controller % self.addresses.len().max(1));
        format!("http://{}{path}", address.map_or("", String::as_str))
    }

    async fn send(
        &self,
        controller: usize,
        request: RequestBuilder,
        kind: RequestKind,
    ) -> ControllerResponse {
        let Ok(response) = request.send().await else {
            self.fail_over(controller);
            return ControllerResponse::NoResponse;
        };
        let status = response.status().as_u16();
        let retry_after_s = retry_after_s(&response);
        let Ok(body) = response.bytes().await else {
            return ControllerResponse::NoResponse;
        };
        let http_response = HttpResponse {
            status,
            retry_after_s,
            body: &body,
        };
        let response = decode_response(kind, http_response);
        if matches!(
            response,
            ControllerResponse::NoResponse | ControllerResponse::RetryAfter(_)
        ) {
            self.fail_over(controller);
        }
        response
    }

    /// Moves on to the next controller, unless another request has done so already.
    fn fail_over(&self, failed: usize) {
        let next = failed.wrapping_add(1);
        // An error means that another request has already moved on to the next controller.
        let _ = self
            .current
            .compare_exchange(failed, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}

fn retry_after_s(response: &Response) -> Option<f64> {
    let value = response.headers().get(RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok()
}
