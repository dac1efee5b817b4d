//! The HTTP server for users, agents and health checks.

mod response;

use super::admission::{Admission, RegisterConnections};
use super::node::Node;
use crate::coordination::api::connections::{Request as RequestKind, RequestDecision};
use crate::protocol::user::{
    BODY_BYTES_LIMIT, InvalidSubmission, UserRequest, UserResponse, parse_submission,
};
use crate::protocol::worker::{Heartbeat, HeartbeatResponse};
use crate::storage::ids::JobId;
use response::{write_empty, write_heartbeat_response, write_user_response};
use salvo::http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use salvo::http::{ReqBody, StatusCode};
use salvo::prelude::*;
use std::borrow::Cow;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for receiving a request's body. Clients hardly wait longer than this for a response.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the server is started again after it stopped or could not bind.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Serves at the address `at` with at most `connections` connections; never returns.
pub async fn serve(node: Arc<Node>, at: SocketAddrV4, connections: usize) {
    let admission = Admission::new(connections);
    tokio::spawn(Arc::clone(&admission).run());
    loop {
        match TcpListener::new(at).try_bind().await {
            Ok(acceptor) => {
                let server = Server::new(acceptor)
                    .max_connections(connections)
                    .fuse_policy(RegisterConnections(Arc::clone(&admission)));
                if let Err(error) = server.try_serve(service(&node, &admission)).await {
                    tracing::error!(%error, "server stopped");
                }
            }
            Err(error) => tracing::error!(%error, %at, "server bind failed"),
        }
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// The routes of the server.
pub fn service(node: &Arc<Node>, admission: &Arc<Admission>) -> Service {
    let endpoint = |kind| Endpoint {
        node: Arc::clone(node),
        admission: Arc::clone(admission),
        kind,
    };
    let job = Router::with_path("{id}")
        .get(endpoint(RequestKind::Query))
        .push(Router::with_path("abort").post(endpoint(RequestKind::Cancel)));
    let jobs = Router::with_path("work")
        .post(endpoint(RequestKind::Submit))
        .push(job);
    let heartbeats = Router::with_path("v1/report").post(endpoint(RequestKind::Heartbeat));
    let health = Router::with_path("healthz").get(endpoint(RequestKind::Health));
    Service::new(Router::new().push(jobs).push(heartbeats).push(health))
}

/// The handler of one kind of request.
struct Endpoint {
    node: Arc<Node>,
    admission: Arc<Admission>,
    kind: RequestKind,
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let remote = request.remote_addr().clone().into_std();
        let decision = remote.map_or(RequestDecision::Serve, |remote| {
            self.admission.on_request(remote, self.kind)
        });
        match decision {
            RequestDecision::Serve => self.serve(request, response).await,
            RequestDecision::Reject(seconds) => {
                write_user_response(response, UserResponse::RetryAfter(seconds));
            }
        }
        if remote.is_some_and(|remote: SocketAddr| self.admission.on_response(remote)) {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

impl Endpoint {
    async fn serve(&self, request: &mut Request, response: &mut Response) {
        match self.kind {
            RequestKind::Submit => self.submit(request, response).await,
            RequestKind::Query => self.query(request, response).await,
            RequestKind::Cancel => self.cancel(request, response).await,
            RequestKind::Heartbeat => self.heartbeat(request, response).await,
            RequestKind::Health => self.health(response),
        }
    }

    fn health(&self, response: &mut Response) {
        let status = if self.node.healthy() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        write_empty(response, status);
    }

    async fn submit(&self, request: &mut Request, response: &mut Response) {
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(status) => return write_empty(response, status),
        };
        let decided = match parse_submission(body) {
            Ok((id, spec)) => {
                let request = UserRequest::Submit(id, Box::new(spec));
                self.node.user(request).await
            }
            Err(error) => self.reject_submission(body, &error).await,
        };
        write_user_response(response, decided);
    }

    /// Decides on an invalid submission. If its body names a job, the controller decides: a retry with an invalid body
    /// does not undo a submission that was accepted before.
    async fn reject_submission(&self, body: &[u8], error: &InvalidSubmission) -> UserResponse {
        let why: Cow<'static, str> = match error {
            InvalidSubmission::Field(field) => (*field).into(),
            InvalidSubmission::Malformed(_) => "body".into(),
            InvalidSubmission::Rules(_) => error.to_string().into(),
        };
        match named_job(body) {
            Some(id) => self.node.invalid_submission(id, why).await,
            None => UserResponse::Invalid(why),
        }
    }

    async fn query(&self, request: &Request, response: &mut Response) {
        self.serve_job(request, response, UserRequest::Query).await;
    }

    async fn cancel(&self, request: &Request, response: &mut Response) {
        self.serve_job(request, response, UserRequest::Cancel).await;
    }

    /// Serves a request about the job in its path.
    async fn serve_job(
        &self,
        request: &Request,
        response: &mut Response,
        user_request: fn(JobId) -> UserRequest,
    ) {
        let id = request
            .param::<String>("id")
            .and_then(|id| id.parse::<JobId>().ok());
        let decided = match id {
            Some(id) => self.node.user(user_request(id)).await,
            // The path is not a job's name, so no such job was ever accepted.
            None => UserResponse::NotFound,
        };
        write_user_response(response, decided);
    }

    async fn heartbeat(&self, request: &mut Request, response: &mut Response) {
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(status) => return write_empty(response, status),
        };
        let decided = match Heartbeat::parse(body) {
            Some(heartbeat) => self.node.heartbeat(heartbeat),
            None => HeartbeatResponse::Malformed,
        };
        write_heartbeat_response(response, decided);
    }
}

/// The job that an invalid submission names, if its body is JSON at all.
fn named_job(body: &[u8]) -> Option<JobId> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get("nameId")?.as_str()?.parse().ok()
}

/// Reads the body of a request; the error is the status of the response. A body whose declared length is too large is
/// not read at all.
async fn read_body(request: &mut Request) -> Result<&[u8], StatusCode> {
    if declared_length(request) > BODY_BYTES_LIMIT {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let read = request.payload_with_max_size(BODY_BYTES_LIMIT);
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(_)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn declared_length(request: &Request) -> usize {
    if matches!(request.body(), ReqBody::None) {
        return 0;
    }
    request
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse().ok())
        .unwrap_or(0)
}
