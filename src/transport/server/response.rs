//! Writing of HTTP responses.

use crate::protocol::user::UserResponse;
use crate::protocol::worker::{HeartbeatResponse, heartbeat_response_body, not_leader_body};
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::prelude::Response;

/// Writes a response with a JSON body.
pub(super) fn write_json(response: &mut Response, status: StatusCode, body: Vec<u8>) {
    response.status_code(status);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    // Fails only if a body has already been written.
    let _ = response.write_body(body);
}

/// Writes a response with an empty JSON object.
pub(super) fn write_empty(response: &mut Response, status: StatusCode) {
    write_json(response, status, b"{}".to_vec());
}

fn write_error(response: &mut Response, status: StatusCode, why: &str) {
    let body = serde_json::json!({ "error": why });
    write_json(response, status, body.to_string().into_bytes());
}

/// Writes the response to a user's request.
pub(super) fn write_user_response(response: &mut Response, decided: UserResponse) {
    match decided {
        UserResponse::Accepted(status) => {
            write_json(response, StatusCode::CREATED, status.body());
        }
        UserResponse::Status(status) => write_json(response, StatusCode::OK, status.body()),
        UserResponse::NotFound => write_error(response, StatusCode::NOT_FOUND, "no such job"),
        UserResponse::Unsatisfiable(why) => {
            write_error(response, StatusCode::UNPROCESSABLE_ENTITY, &why);
        }
        UserResponse::Invalid(why) => write_error(response, StatusCode::BAD_REQUEST, &why),
        UserResponse::RetryAfter(seconds) => {
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
            write_error(response, StatusCode::SERVICE_UNAVAILABLE, "not now");
        }
    }
}

/// Writes the response to a heartbeat.
pub(super) fn write_heartbeat_response(response: &mut Response, decided: HeartbeatResponse) {
    match decided {
        HeartbeatResponse::Commands {
            fencing_token,
            commands,
        } => {
            let body = heartbeat_response_body(fencing_token, &commands);
            write_json(response, StatusCode::OK, body);
        }
        HeartbeatResponse::NotLeader(leader) => {
            let body = not_leader_body(leader.as_deref());
            write_json(response, StatusCode::MISDIRECTED_REQUEST, body);
        }
        HeartbeatResponse::Unavailable => {
            write_empty(response, StatusCode::SERVICE_UNAVAILABLE);
        }
        HeartbeatResponse::Malformed => write_empty(response, StatusCode::BAD_REQUEST),
    }
}
