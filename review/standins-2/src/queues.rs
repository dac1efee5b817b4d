//! Case: a broker that drops connections for a while, and the messages' answers afterwards.

use crate::Outcome;
use crate::fakes::amqp_server::{AMQPProperties, AmqpServer};
use crate::world::{Figures, Record, World, end, note_started};
use cometlead_emulator::fakes::cloud::TypeSpec;
use cometlead_emulator::fakes::worker::JobInfo;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const FRONT_ENDS: usize = 3;

/// The figures of the previews' deployment.
fn previews() -> Figures {
    Figures {
        zone: "zagreb-east",
        teams: json!([{"name": "audio-platform", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]),
        rps: 80.0,
        write_rps: 30.0,
        value_kb: 4.0,
        txn_ops: 12,
        report_s: 3.0,
        lease_s: 34.0,
        cancel_s: 64.0,
        cloud_rps: 10.0,
        list_lag_s: 4.0,
        core_share: 0.12,
        ram_mb: 200.0,
        max_connections: 3_500,
        clock_error_ms: 250.0,
        machine: TypeSpec {
            name: "veliki-node".to_owned(),
            cores: 32.0,
            memory_gb: 128.0,
            accelerators: 0.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            boot_s: 2.0,
            price: 1.45,
            spot_price: 0.53,
            on_demand_per_zone: 2,
            spot_per_zone: 2,
            stuck_boot_fraction: 0.0,
            zones: vec!["zagreb-east".to_owned()],
        },
    }
}

struct FrontEnds {
    binary: PathBuf,
    folder: PathBuf,
    children: Vec<Child>,
}

impl FrontEnds {
    fn start(&mut self) {
        for number in 0..FRONT_ENDS {
            let log = File::options()
                .create(true)
                .append(true)
                .open(self.folder.join(format!("queues-{number}.log")))
                .expect("log");
            let child = Command::new(&self.binary)
                .args(["queues", "--settings"])
                .arg(self.folder.join("queues.json"))
                .env("LOG_LEVEL", "info")
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()
                .expect("a front end");
            note_started(&child);
            self.children.push(child);
        }
    }

    fn kill(&mut self) {
        self.children.drain(..).for_each(end);
    }
}

struct Desk<'a> {
    world: &'a World,
    broker: AmqpServer,
    sent: u64,
    answers: BTreeMap<String, Vec<Value>>,
}

impl Desk<'_> {
    /// Sends a message as a client does.
    fn send(&mut self) {
        self.sent += 1;
        let number = self.sent;
        self.world.jobs.lock().unwrap().insert(
            number,
            JobInfo {
                cores: 4.0,
                memory_gb: 14.0,
                run_us: 1_000_000,
                image: "img-rush".to_owned(),
                image_fetch_s: 0.5,
                task_count: 1,
                runs_until_cancelled: false,
                gang: false,
                fails: false,
                saves_checkpoint: false,
                checkpoint_duration_s: 0.0,
            },
        );
        let body = json!({"nameId": format!("req-{number:06}"), "lane": "client-rush", "crew": "audio-platform",
            "shape": "sweep", "urgency": "high", "pieces": 1, "cores": 4.0, "accelerators": 0.0, "memGb": 14.0,
            "bundle": "img-rush", "sizeGb": 0.5, "builds": null, "yard": null, "oneZone": false, "apart": false,
            "loaners": true, "guessS": 1.0, "bookmarkS": 0.0, "stashS": 0.0, "dueS": null});
        let properties = AMQPProperties::default()
            .with_reply_to("answers".into())
            .with_correlation_id(format!("c{number}").into())
            .with_message_id(format!("upload-{number}").into());
        self.broker
            .publish("work", properties, body.to_string().as_bytes());
        self.world
            .record
            .line(format!("client sends message c{number}"));
    }

    fn collect(&mut self) {
        for message in self.broker.take_ready_messages("answers") {
            let id = message
                .properties
                .correlation_id()
                .as_ref()
                .map(|id| id.as_str().to_owned());
            let answer: Value = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
            self.world
                .record
                .line(format!("client reads answer {id:?} {answer}"));
            if answer["final"] == true {
                self.answers
                    .entry(id.unwrap_or_default())
                    .or_default()
                    .push(answer);
            }
        }
    }

    /// Collects answers until every message has one, or for `limit`.
    async fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            self.collect();
            if self.answers.len() as u64 >= self.sent {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }
}

pub async fn run(root: &Path, record: Record, folder: PathBuf, trouble: bool) -> Outcome {
    let world = World::start(root, record, folder.clone(), previews(), 3).await;
    let broker = AmqpServer::start(1, 0, None).await;
    for queue in ["work", "answers"] {
        broker.declare_queue(queue);
    }
    let controllers: Vec<String> = world
        .nodes
        .iter()
        .map(|(address, _)| address.to_string())
        .collect();
    let settings = json!({
        "broker": {"host": "127.0.0.1", "port": broker.address.port(), "credentials": "queues.login", "heartbeat_s": 10},
        "controllers": controllers,
        "state": {"address": world.state_address.to_string(), "prefix": "q/", "rounds_per_s": 5, "value_bytes": 2048},
        "queues": [{"name": "work", "prefetch": 100}],
        "poll_s": 1.0,
    });
    std::fs::write(folder.join("queues.json"), settings.to_string()).expect("settings");
    std::fs::write(folder.join("queues.login"), "clerk\nnotices\n").expect("login");
    let binary = root.join("review/standins-2/target/project/release/cometlead");
    let mut front_ends = FrontEnds {
        binary,
        folder,
        children: Vec::new(),
    };
    let mut desk = Desk {
        world: &world,
        broker,
        sent: 0,
        answers: BTreeMap::new(),
    };
    let outcome = play(&mut desk, &mut front_ends, trouble).await;
    front_ends.kill();
    world.kill_all();
    outcome
}

/// How often connections end while the broker is in trouble, and for how long.
const KILL_INTERVAL: Duration = Duration::from_millis(1_500);
const TROUBLE: Duration = Duration::from_secs(45);

async fn play(desk: &mut Desk<'_>, front_ends: &mut FrontEnds, trouble: bool) -> Outcome {
    for node in 0..3 {
        desk.world.start_controller(node, None);
    }
    if !desk.world.wait_healthy(Duration::from_secs(20)).await {
        return Outcome::CouldNotRun("controllers not healthy".to_owned());
    }
    front_ends.start();
    for _ in 0..5 {
        desk.send();
    }
    if !desk.wait(Duration::from_secs(25)).await {
        return Outcome::CouldNotRun("no answers before the trouble".to_owned());
    }
    let begun = Instant::now();
    let mut next_message = begun;
    while begun.elapsed() < TROUBLE {
        if trouble {
            desk.broker.restart();
            desk.world.record.line("broker ends all connections");
        }
        if Instant::now() >= next_message {
            desk.send();
            next_message += Duration::from_secs(5);
        }
        desk.collect();
        tokio::time::sleep(KILL_INTERVAL).await;
    }
    desk.world
        .record
        .line("the broker keeps connections from here on");
    let mut all = desk.wait(Duration::from_secs(15)).await;
    if !all {
        desk.world.record.line(format!(
            "{} of {} messages have an answer",
            desk.answers.len(),
            desk.sent
        ));
        front_ends.kill();
        desk.world
            .record
            .line("front ends killed and started again");
        front_ends.start();
        all = desk.wait(Duration::from_secs(20)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    desk.collect();
    let open = desk
        .world
        .state
        .lock()
        .unwrap()
        .values("q/open")
        .map(|(_, v)| v.to_string())
        .next();
    let links = open.as_ref().map_or(0, |text| {
        serde_json::from_str::<Value>(text)
            .ok()
            .and_then(|v| v["links"].as_object().map(|l| l.len()))
            .unwrap_or(0)
    });
    desk.world.record.line(format!(
        "the log's open record lists {links} connections: {}",
        open.unwrap_or_default()
    ));
    desk.world.record.line(format!(
        "{} of {} messages have a final answer",
        desk.answers.len(),
        desk.sent
    ));
    let twice = desk
        .answers
        .values()
        .filter(|answers| answers.len() > 1)
        .count();
    desk.world
        .record
        .line(format!("{twice} messages have more than one"));
    if !all || twice > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
