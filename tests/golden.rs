//! Golden files for stored records and messages. A difference from any of them is a change of the stored or wire format.
//!
//! If a file differs, the actual output is written to `target/tmp`.

use cometlead::protocol::cloud::{self, CloudReply, CloudRequest};
use cometlead::protocol::operator::OperatorSettings;
use cometlead::protocol::peer::PeerHint;
use cometlead::protocol::settings::Settings;
use cometlead::protocol::state::{self, KeyChange, StateRequest, StateResponse, Transaction};
use cometlead::protocol::user::parse_submission;
use cometlead::protocol::worker::{
    Command, ExitReason, Heartbeat, TaskState, command_body, heartbeat_response_body,
    not_leader_body,
};
use cometlead::storage::cell_state::Content;
use cometlead::storage::ids::JobId;
use cometlead::storage::job::FinalRecord;
use cometlead::storage::records::Key;
use cometlead::time::Micros;
use cometlead_constraints::RuleSet;
use serde_json::value::RawValue;
use std::fmt::Write;
use std::process;

const RECORDS: &str = include_str!("golden/records.txt");
const RULES: &[u8] = include_bytes!("../deploy/rules.example.json");

/// Compares output with a file in `tests/golden`.
fn assert_golden(name: &str, actual: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected != actual {
        let actual_path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&actual_path, actual).unwrap();
        let line = expected.lines().zip(actual.lines()).find(|(a, b)| a != b);
        panic!("{name} differs from {actual_path}, first at {line:?}");
    }
}

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).unwrap_or_else(|e| panic!("{text}: {e}"))
}

fn encode_content(c: &Content) -> String {
    let text = match c {
        Content::Meta(r) => state::encode(r),
        Content::Types(r) => state::encode(r),
        Content::Fleet(r) => state::encode(r),
        Content::Node(r) => state::encode(r),
        Content::ShardLeader(r) => state::encode(r),
        Content::Group(r) => state::encode(r),
        Content::Usage(r) => state::encode(r),
        Content::Job(r) => state::encode(&**r),
        Content::Chunk(r) => state::encode(r),
        Content::Rules(r) => state::encode(&**r.as_ref().unwrap()),
    };
    text.unwrap().get().to_owned()
}

/// A record, decoded and encoded again.
fn reencode(key: &Key, text: &str) -> String {
    if matches!(key, Key::Final(_)) {
        let end: FinalRecord = serde_json::from_str(text).unwrap();
        return state::encode(&end).unwrap().get().to_owned();
    }
    encode_content(&state::decode(key, &raw(text)).unwrap_or_else(|| panic!("{key} {text}")))
}

#[test]
fn records_are_unchanged_after_decoding_and_encoding() {
    let mut kinds = std::collections::HashSet::new();
    for line in RECORDS.lines() {
        let (name, text) = line.split_once(' ').unwrap();
        let key = Key::parse(name).unwrap_or_else(|| panic!("{name}"));
        assert_eq!(key.to_string(), name);
        assert_eq!(reencode(&key, text), text, "{name}");
        kinds.insert(std::mem::discriminant(&key));
    }
    assert_eq!(kinds.len(), 11, "kinds of records");
}

#[test]
fn machine_groups_in_both_encodings() {
    let mut output = String::new();
    for line in RECORDS.lines().filter(|l| l.starts_with("c/group/")) {
        let (name, text) = line.split_once(' ').unwrap();
        let key = Key::parse(name).unwrap();
        let Some(Content::Group(mut group)) = state::decode(&key, &raw(text)) else {
            panic!("{name}")
        };
        group.compact_encoding = !group.compact_encoding;
        let other = state::encode(&group).unwrap();
        assert_eq!(reencode(&key, other.get()), other.get());
        writeln!(output, "{name} {other}").unwrap();
    }
    assert_golden("groups.txt", &output);
}

#[test]
fn records_with_missing_fields() {
    let mut output = String::new();
    for line in include_str!("golden/absent.txt").lines() {
        let (name, text) = line.split_once(' ').unwrap();
        writeln!(
            output,
            "{name} {}",
            reencode(&Key::parse(name).unwrap(), text)
        )
        .unwrap();
    }
    assert_golden("absent.out.txt", &output);
}

#[test]
fn rules_record() {
    let set = RuleSet::parse(RULES).unwrap();
    let text = state::encode(&set).unwrap();
    assert_eq!(reencode(&Key::Rules(1), text.get()), text.get());
    assert_golden("rules.txt", &format!("{text}\n"));
}

#[test]
fn parsed_submissions() {
    let mut output = String::new();
    for line in include_str!("golden/submissions.txt").lines() {
        match parse_submission(line.as_bytes()) {
            Ok((id, spec)) => writeln!(output, "{id} {}", state::encode(&spec).unwrap()).unwrap(),
            Err(e) => writeln!(output, "{e}").unwrap(),
        }
    }
    assert_golden("submissions.out.txt", &output);
}

/// A task's state by its name in the golden file.
fn task_state(state: TaskState) -> String {
    let reason = match state {
        TaskState::Fetching => return "Fetching".to_owned(),
        TaskState::Running => return "Running".to_owned(),
        TaskState::Checkpointing => return "Flushing".to_owned(),
        TaskState::Exited(reason) => reason,
    };
    let reason = match reason {
        ExitReason::Completed => "Done",
        ExitReason::Stopped => "Halted",
        ExitReason::Failed => "Error",
        ExitReason::InsufficientCapacity => "Full",
        ExitReason::OtherAttemptPresent => "InUse",
        ExitReason::UnknownJob => "NoSuch",
        ExitReason::Other => "Other",
    };
    format!("Exited({reason})")
}

#[test]
fn heartbeats_and_worker_commands() {
    let mut output = String::new();
    for line in include_str!("golden/reports.txt").lines() {
        let Some(r) = Heartbeat::parse(line.as_bytes()) else {
            output += "malformed\n";
            continue;
        };
        write!(
            output,
            "{} {} {} {} {}",
            r.machine, r.endpoint, r.machine_type, r.zone, r.spot
        )
        .unwrap();
        write!(
            output,
            " {:?} {} {:?}",
            (r.id.incarnation, r.id.sequence),
            r.fencing_token,
            r.preemption_notice.map(|t| t.0)
        )
        .unwrap();
        for (a, s) in &r.tasks {
            write!(output, " {}/{}={}", a.task, a.number, task_state(*s)).unwrap();
        }
        output.push('\n');
        let commands: Vec<Command> = r
            .tasks
            .iter()
            .flat_map(|(a, _)| {
                [
                    Command::Launch(*a),
                    Command::Stop(*a, Micros::millis(2_500)),
                    Command::Forget(*a),
                ]
            })
            .collect();
        for body in [
            heartbeat_response_body(r.fencing_token, &commands),
            command_body(r.fencing_token, r.incarnation(), &commands),
        ] {
            output += &String::from_utf8(body).unwrap();
            output.push('\n');
        }
    }
    for body in [not_leader_body(None), not_leader_body(Some("n1"))] {
        output += &String::from_utf8(body).unwrap();
        output.push('\n');
    }
    assert_golden("workers.out.txt", &output);
}

fn write_request(output: &mut String, (method, path, body): (&str, String, Vec<u8>)) {
    writeln!(
        output,
        "{method} {path} {}",
        String::from_utf8(body).unwrap()
    )
    .unwrap();
}

#[test]
fn cloud_requests_and_responses() {
    let machine = "i-000231".parse().unwrap();
    let provision = |spot| CloudRequest::Provision {
        name: "n0-1".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot,
        count: 3,
    };
    let requests = [
        CloudRequest::Catalog,
        provision(true),
        provision(false),
        CloudRequest::Release(vec![machine]),
        CloudRequest::List(None),
        CloudRequest::List(Some(machine)),
    ];
    let mut output = String::new();
    for request in &requests {
        write_request(&mut output, cloud::http(request));
        for line in include_str!("golden/cloud.txt").lines() {
            let (status, body) = line.split_once(' ').unwrap();
            let read = match cloud::parse(request, status.parse().unwrap(), body.as_bytes()) {
                Ok(CloudReply::Catalog(c)) => state::encode(&c).unwrap().get().to_owned(),
                Ok(CloudReply::Provisioned(m)) => m.iter().map(|m| format!("{m},")).collect(),
                Ok(CloudReply::Machines(hosts, more)) => {
                    hosts.iter().fold(more.to_string(), |t, h| {
                        t + &format!(
                            " {} {} {} {} {:?} {};",
                            h.id, h.machine_type, h.zone, h.spot, h.status, h.age.0
                        )
                    })
                }
                Ok(CloudReply::NoCapacity) => "no capacity".into(),
                Ok(CloudReply::Released) => "released".into(),
                Err(e) => e.to_string(),
            };
            writeln!(output, "  {status} {body}\n    {read}").unwrap();
        }
    }
    assert_golden("cloud.out.txt", &output);
}

#[test]
fn state_service_requests_and_responses() {
    let key = Key::parse("c/own/1").unwrap();
    let put = |value: Option<&str>, lease_id| KeyChange {
        key: key.clone(),
        value: value.map(raw),
        lease_id,
    };
    let own = Some(r#"{"node":"n0","run":7}"#);
    let txn = |changes| {
        StateRequest::Transaction(Transaction {
            conditions: vec![(key.clone(), 0), (Key::Meta, 9)],
            changes,
        })
    };
    let requests = [
        StateRequest::Get(Key::Final(JobId(7))),
        StateRequest::List { after: None },
        StateRequest::List {
            after: Some("c/job/7".into()),
        },
        txn(vec![]),
        txn(vec![put(own, None), put(None, None)]),
        txn(vec![put(own, Some(5))]),
        StateRequest::LeaseGrant(Micros::millis(3_500)),
        StateRequest::LeaseKeepAlive(5),
        StateRequest::Changes {
            after: 9,
            wait: Micros::millis(700),
        },
    ];
    let mut output = String::new();
    for request in &requests {
        write_request(&mut output, state::http(request));
        for line in include_str!("golden/state.txt").lines() {
            let (status, body) = line.split_once(' ').unwrap();
            let changes = |all: &[cometlead::storage::cell_state::Change]| -> String {
                all.iter()
                    .map(|c| {
                        format!(
                            " {} {} {:?};",
                            c.key,
                            c.mod_revision,
                            c.content.as_ref().map(encode_content)
                        )
                    })
                    .collect()
            };
            let read = match state::parse(request, status.parse().unwrap(), body.as_bytes()) {
                Ok(StateResponse::Value(v)) => format!("value {:?}", v.map(|v| v.to_string())),
                Ok(StateResponse::Page {
                    items,
                    next,
                    revision,
                }) => {
                    format!("page {next:?} {revision}{}", changes(&items))
                }
                Ok(StateResponse::Applied(n)) => format!("applied {n}"),
                Ok(StateResponse::Conflict(keys, n)) => keys
                    .iter()
                    .fold(format!("clash {n}"), |t, k| format!("{t} {k}")),
                Ok(StateResponse::Lease(n)) => format!("lease {n}"),
                Ok(StateResponse::LeaseKeptAlive) => "touched".into(),
                Ok(StateResponse::LeaseExpired) => "no lease".into(),
                Ok(StateResponse::Changes(all, n)) => format!("changes {n}{}", changes(&all)),
                Ok(StateResponse::Compacted) => "too old".into(),
                Err(e) => e.to_string(),
            };
            writeln!(output, "  {status} {body}\n    {read}").unwrap();
        }
    }
    assert_golden("state.out.txt", &output);
}

#[test]
fn peer_hints() {
    let mut output = String::new();
    for line in include_str!("golden/hints.txt").lines() {
        let hint: PeerHint = serde_json::from_str(line).unwrap();
        let bytes = rmp_serde::to_vec(&hint).unwrap();
        assert_eq!(rmp_serde::from_slice::<PeerHint>(&bytes).unwrap(), hint);
        let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
        writeln!(output, "{hex} {}", serde_json::to_string(&hint).unwrap()).unwrap();
    }
    assert_golden("hints.out.txt", &output);
}

/// Each field of the deploy file is read under its name: without the field, the file is refused or read without the field's
/// effect.
#[test]
fn deploy_file_without_each_of_its_fields() {
    let whole: serde_json::Value =
        serde_json::from_str(include_str!("golden/deploy.json")).unwrap();
    let read =
        |v: &serde_json::Value| match Settings::parse("deploy.json", v.to_string().as_bytes()) {
            Ok(s) => {
                let teams: Vec<_> = s
                    .teams
                    .iter()
                    .map(|t| (&t.name, t.guarantee, t.cores_limit, t.accelerators_limit))
                    .collect();
                let objectives: Vec<_> = s.objectives.iter().map(|o| (&o.class, o.kind)).collect();
                let (now, next) = (s.state_limits, s.announced_state_limits);
                format!(
                    "read: {teams:?} {objectives:?} {} {} {} {} {} {}",
                    now.write_rps,
                    now.value_bytes,
                    now.txn_ops,
                    next.write_rps,
                    next.value_bytes,
                    next.txn_ops
                )
            }
            Err(e) => e.to_string().split(" at line").next().unwrap().to_owned(),
        };
    fn paths(v: &serde_json::Value, at: &str, all: &mut Vec<String>) {
        let each: Vec<(String, &serde_json::Value)> = match v {
            serde_json::Value::Object(o) => {
                o.iter().map(|(k, v)| (format!("{at}/{k}"), v)).collect()
            }
            serde_json::Value::Array(a) => a
                .iter()
                .enumerate()
                .map(|(i, v)| (format!("{at}/{i}"), v))
                .collect(),
            _ => return,
        };
        for (path, v) in each {
            paths(v, &path, all);
            all.push(path);
        }
    }
    let mut all = Vec::new();
    paths(&whole, "", &mut all);
    let mut output = format!("{}\n", read(&whole));
    for path in &all {
        let mut reduced = whole.clone();
        let (parent, field) = path.rsplit_once('/').unwrap();
        match reduced.pointer_mut(parent).unwrap() {
            serde_json::Value::Object(o) => drop(o.remove(field)),
            serde_json::Value::Array(a) => drop(a.remove(field.parse().unwrap())),
            _ => unreachable!(),
        }
        writeln!(output, "without {path}: {}", read(&reduced)).unwrap();
    }
    assert_golden("deploy.out.txt", &output);
}

#[test]
fn operator_settings() {
    let mut output = String::new();
    for line in include_str!("golden/operator.txt").lines() {
        match OperatorSettings::parse(line.as_bytes()) {
            Ok(s) => writeln!(
                output,
                "{:?} {} {} {:?} {:?}",
                s.shards, s.round_ms, s.node_lease_ms, s.idle_s, s.rules
            ),
            Err(e) => writeln!(output, "{e}"),
        }
        .unwrap();
    }
    assert_golden("operator.out.txt", &output);
}

#[test]
fn command_line() {
    let mut output = String::new();
    for line in include_str!("golden/commands.txt").lines() {
        let out = process::Command::new(env!("CARGO_BIN_EXE_cometlead"))
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .args(line.split_whitespace())
            .output()
            .unwrap();
        writeln!(
            output,
            "$ cometlead {line}\n{}{}= {:?}",
            String::from_utf8(out.stdout).unwrap(),
            String::from_utf8(out.stderr).unwrap(),
            out.status.code()
        )
        .unwrap();
    }
    assert_golden("commands.out.txt", &output);
}
