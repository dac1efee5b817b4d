//! The HTTP server for users, workers and health checks.

use super::admission::{Admission, Register};
use super::node::Node;
use crate::coordination::api::connections::{Request as Asked, Verdict};
use crate::protocol::user::{
    BODY_LIMIT, BadSubmission, UserRequest, UserResponse, parse_submission,
};
use crate::protocol::worker::{
    Heartbeat, HeartbeatResponse, elsewhere_body, heartbeat_response_body,
};
use crate::storage::ids::JobId;
use salvo::http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::http::{ReqBody, StatusCode};
use salvo::prelude::*;
use std::borrow::Cow;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

/// How long a request's body may take; its sender waits for an answer hardly longer.
const BODY_TIME: Duration = Duration::from_secs(3);

/// Serves on `at`, for ever.
pub async fn serve(node: Arc<Node>, at: SocketAddrV4, connections: usize) {
    let admission = Admission::new(connections);
    tokio::spawn(Arc::clone(&admission).run());
    loop {
        match TcpListener::new(at).try_bind().await {
            Ok(acceptor) => {
                let server = Server::new(acceptor)
                    .max_connections(connections)
                    .fuse_policy(Register(Arc::clone(&admission)));
                if let Err(error) = server.try_serve(service(&node, &admission)).await {
                    tracing::error!(%error, "the server stopped, starting it again");
                }
            }
            Err(error) => tracing::error!(%error, %at, "cannot listen"),
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// The routes.
pub fn service(node: &Arc<Node>, admission: &Arc<Admission>) -> Service {
    let end = |asked| Endpoint {
        node: Arc::clone(node),
        admission: Arc::clone(admission),
        asked,
    };
    let job = Router::with_path("{id}")
        .get(end(Asked::Query))
        .push(Router::with_path("abort").post(end(Asked::Abort)));
    let work = Router::with_path("work").post(end(Asked::Submit)).push(job);
    let router = Router::new()
        .push(work)
        .push(Router::with_path("v1/report").post(end(Asked::Heartbeat)))
        .push(Router::with_path("healthz").get(end(Asked::Health)));
    Service::new(router)
}

struct Endpoint {
    node: Arc<Node>,
    admission: Arc<Admission>,
    asked: Asked,
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let remote = req.remote_addr().clone().into_std();
        match remote.map_or(Verdict::Serve, |r| self.admission.requested(r, self.asked)) {
            Verdict::Serve => self.serve(req, res).await,
            Verdict::TurnAway(seconds) => user_answer(res, UserResponse::RetryAfter(seconds)),
        }
        if remote.is_some_and(|r: SocketAddr| self.admission.answered(r)) {
            res.headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

impl Endpoint {
    async fn serve(&self, req: &mut Request, res: &mut Response) {
        match self.asked {
            Asked::Submit => self.submit(req, res).await,
            Asked::Query | Asked::Abort => self.about_job(req, res).await,
            Asked::Heartbeat => self.heartbeat(req, res).await,
            Asked::Health => self.health(res),
        }
    }

    fn health(&self, res: &mut Response) {
        let status = if self.node.healthy() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json(res, status, b"{}".to_vec());
    }

    async fn submit(&self, req: &mut Request, res: &mut Response) {
        let Some(body) = body(req, res).await else {
            return;
        };
        let answer = match parse_submission(body) {
            Ok((id, spec)) => {
                self.node
                    .user(UserRequest::Submit(id, Box::new(spec)))
                    .await
            }
            Err(problem) => {
                // A job that was accepted stays accepted, whatever a retry looks like.
                let why: Cow<'static, str> = match &problem {
                    BadSubmission::Field(field) => (*field).into(),
                    BadSubmission::Malformed(_) => "body".into(),
                    BadSubmission::Rules(_) => problem.to_string().into(),
                };
                match named_job(body) {
                    Some(id) => self.node.bad_submission(id, why).await,
                    None => UserResponse::Bad(why),
                }
            }
        };
        user_answer(res, answer);
    }

    async fn about_job(&self, req: &mut Request, res: &mut Response) {
        let id = req
            .param::<String>("id")
            .and_then(|id| id.parse::<JobId>().ok());
        let answer = match (id, self.asked) {
            // Nothing of such a name was ever accepted.
            (None, _) => UserResponse::Unknown,
            (Some(id), Asked::Abort) => self.node.user(UserRequest::Abort(id)).await,
            (Some(id), _) => self.node.user(UserRequest::Query(id)).await,
        };
        user_answer(res, answer);
    }

    async fn heartbeat(&self, req: &mut Request, res: &mut Response) {
        let Some(body) = body(req, res).await else {
            return;
        };
        let answer = match Heartbeat::parse(body) {
            Some(heartbeat) => self.node.heartbeat(heartbeat),
            None => HeartbeatResponse::Malformed,
        };
        match answer {
            HeartbeatResponse::Commands {
                fencing_token,
                commands,
            } => json(
                res,
                StatusCode::OK,
                heartbeat_response_body(fencing_token, &commands),
            ),
            HeartbeatResponse::Elsewhere(owner) => {
                json(
                    res,
                    StatusCode::MISDIRECTED_REQUEST,
                    elsewhere_body(owner.as_deref()),
                );
            }
            HeartbeatResponse::Unavailable => {
                json(res, StatusCode::SERVICE_UNAVAILABLE, b"{}".to_vec())
            }
            HeartbeatResponse::Malformed => json(res, StatusCode::BAD_REQUEST, b"{}".to_vec()),
        }
    }
}

/// The job that a malformed submission names, if it is JSON at all.
fn named_job(body: &[u8]) -> Option<JobId> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get("nameId")?.as_str()?.parse().ok()
}

/// The body, unless it is too large: then that is answered without reading it.
async fn body<'a>(req: &'a mut Request, res: &mut Response) -> Option<&'a [u8]> {
    let declared = match req.body() {
        ReqBody::None => 0,
        _ => req
            .headers()
            .get(salvo::http::header::CONTENT_LENGTH)
            .and_then(|l| l.to_str().ok()?.parse().ok())
            .unwrap_or(0),
    };
    if declared <= BODY_LIMIT {
        match tokio::time::timeout(BODY_TIME, req.payload_with_max_size(BODY_LIMIT)).await {
            Ok(Ok(bytes)) => return Some(bytes),
            Ok(Err(_)) => {}
            Err(_) => {
                json(res, StatusCode::REQUEST_TIMEOUT, b"{}".to_vec());
                return None;
            }
        }
    }
    json(res, StatusCode::PAYLOAD_TOO_LARGE, b"{}".to_vec());
    None
}

fn json(res: &mut Response, status: StatusCode, body: Vec<u8>) {
    res.status_code(status);
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    // Only fails on a body that was set already.
    let _ = res.write_body(body);
}

fn problem(res: &mut Response, status: StatusCode, why: &str) {
    json(
        res,
        status,
        serde_json::json!({ "error": why }).to_string().into_bytes(),
    );
}

fn user_answer(res: &mut Response, answer: UserResponse) {
    match answer {
        UserResponse::Accepted(a) => json(res, StatusCode::CREATED, a.body()),
        UserResponse::Is(a) => json(res, StatusCode::OK, a.body()),
        UserResponse::Unknown => problem(res, StatusCode::NOT_FOUND, "no such job"),
        UserResponse::Never(why) => problem(res, StatusCode::UNPROCESSABLE_ENTITY, &why),
        UserResponse::Bad(why) => problem(res, StatusCode::BAD_REQUEST, &why),
        UserResponse::RetryAfter(seconds) => {
            res.headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
            problem(res, StatusCode::SERVICE_UNAVAILABLE, "not now");
        }
    }
}
