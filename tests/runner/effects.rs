//! A digest of everything that the controllers of a run decide, in its encoding on the wire.

use cometlead::coordination::Effect;
use cometlead::protocol::user::UserResponse;
use cometlead::protocol::worker::{HeartbeatResponse, heartbeat_response_body, not_leader_body};
use cometlead::protocol::{cloud, state};

/// FNV-1a with 64 bits: the same on every machine and in every version of Rust.
#[derive(Clone, Copy, Debug)]
pub struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }
}

impl Fnv {
    /// Adds a number.
    pub fn number(&mut self, number: u64) {
        self.update(&number.to_le_bytes());
    }

    /// Adds the length and then the bytes, so that consecutive values cannot be confused.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.update(bytes);
    }

    /// The digest of all that was added.
    pub fn value(&self) -> u64 {
        self.0
    }

    fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// The effects of all controllers of a run, in order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decisions {
    digest: Fnv,
    count: u64,
}

impl Decisions {
    /// Adds an effect of a controller at a simulated time.
    pub fn add(&mut self, now: u64, node: usize, effect: &Effect) {
        self.count += 1;
        self.digest.number(now);
        self.digest.number(node as u64);
        match effect {
            Effect::State(call, request, limit) => {
                self.request(1, call.0, limit.0, state::http(request));
            }
            Effect::Cloud(call, request, limit) => {
                self.request(2, call.0, limit.0, cloud::http(request));
            }
            Effect::PushCommand {
                call,
                endpoint,
                body,
                timeout: limit,
            } => {
                let path = format!("{endpoint}/commands");
                self.request(3, call.0, limit.0, ("POST", path, body.clone()));
            }
            Effect::User(call, response) => self.response(4, call.0, user_response(response)),
            Effect::Heartbeat(call, response) => {
                self.response(5, call.0, heartbeat_response(response));
            }
            Effect::Peers(hint) => {
                self.digest.number(6);
                self.digest.bytes(&rmp_serde::to_vec(hint).expect("a hint"));
            }
        }
    }

    /// The digest of all effects.
    pub fn digest(&self) -> u64 {
        self.digest.value()
    }

    /// How many effects there were.
    pub fn count(&self) -> u64 {
        self.count
    }

    fn request(&mut self, kind: u64, call: u64, limit: u64, http: (&str, String, Vec<u8>)) {
        [kind, call, limit]
            .into_iter()
            .for_each(|number| self.digest.number(number));
        let (method, path, body) = http;
        self.digest.bytes(method.as_bytes());
        self.digest.bytes(path.as_bytes());
        self.digest.bytes(&body);
    }

    fn response(&mut self, kind: u64, call: u64, (status, body): (u64, Vec<u8>)) {
        [kind, call, status]
            .into_iter()
            .for_each(|number| self.digest.number(number));
        self.digest.bytes(&body);
    }
}

/// The status, and the body or the data from which it is built.
fn user_response(response: &UserResponse) -> (u64, Vec<u8>) {
    match response {
        UserResponse::Accepted(a) => (201, a.body()),
        UserResponse::Status(a) => (200, a.body()),
        UserResponse::NotFound => (404, Vec::new()),
        UserResponse::Unsatisfiable(why) => (422, why.as_bytes().to_vec()),
        UserResponse::Invalid(why) => (400, why.as_bytes().to_vec()),
        UserResponse::RetryAfter(seconds) => (503, seconds.to_string().into_bytes()),
    }
}

fn heartbeat_response(response: &HeartbeatResponse) -> (u64, Vec<u8>) {
    match response {
        HeartbeatResponse::Commands {
            fencing_token,
            commands,
        } => (200, heartbeat_response_body(*fencing_token, commands)),
        HeartbeatResponse::NotLeader(owner) => (421, not_leader_body(owner.as_deref())),
        HeartbeatResponse::Unavailable => (503, Vec::new()),
        HeartbeatResponse::Malformed => (400, Vec::new()),
    }
}
