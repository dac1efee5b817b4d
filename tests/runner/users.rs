//! Users: what they submit, ask and cancel, and how they repeat it.

use super::check::Asked;
use super::worker::JobInfo;
use super::{Happening, Message, User, World};
use cometlead_emulator::standins::submission::Submission;
use std::collections::BTreeMap;

impl World {
    pub(super) fn submit(&mut self, job: u64, f: &BTreeMap<String, String>, node: Option<usize>) {
        let text = |k: &str, default: &str| f.get(k).cloned().unwrap_or(default.to_owned());
        let real =
            |k: &str, default: f64| f.get(k).map_or(default, |v| v.parse().expect("a number"));
        let flag = |k: &str, default: bool| f.get(k).map_or(default, |v| v == "yes");
        let run = real("run", 10.0);
        let pieces = real("pieces", 1.0) as u32;
        let builds: Option<Vec<String>> = f
            .get("builds")
            .map(|b| b.split(',').map(str::to_owned).collect());
        let awaits: Option<Vec<String>> = f
            .get("awaits")
            .map(|a| a.split(',').map(str::to_owned).collect());
        let number = |name: &String| {
            name.strip_prefix("req-")
                .and_then(|n| n.parse().ok())
                .expect("a job")
        };
        let asked = Asked {
            awaits: awaits.iter().flatten().map(number).collect(),
            team: text("team", "free"),
            lane: text("lane", "lane"),
            cores: real("cores", 1.0),
            pieces,
            builds: builds.clone(),
            yard: f.get("yard").cloned(),
            spot: flag("spot", true),
            one_zone: flag("one_zone", false),
            apart: flag("apart", false),
            image: text("image", "img"),
            urgency: text("urgency", "standard"),
            rules: f.get("rules").map(|name| self.script.own[name].clone()),
        };
        let shape = text("shape", "sweep");
        let submission = Submission {
            job,
            lane: asked.lane.clone(),
            crew: asked.team.clone(),
            shape: shape.clone(),
            urgency: asked.urgency.clone(),
            pieces,
            cores: asked.cores,
            mem: real("mem", 1.0),
            builds,
            yard: asked.yard.clone(),
            one_zone: asked.one_zone,
            apart: asked.apart,
            spot: asked.spot,
            image: asked.image.clone(),
            size: real("size", 0.5),
            guess: real("guess", run),
            bookmark: real("bookmark", 0.0),
            stash: real("stash", 0.0),
            due: f.get("due").map(|d| d.parse::<f64>().expect("a number")),
            awaits,
        };
        let mut body = submission.body();
        if let Some(rules) = &asked.rules {
            body["rules"] = rules.clone();
        }
        let info = JobInfo {
            cores: asked.cores,
            mem: real("mem", 1.0),
            run: (run * 1e6) as u64,
            image: text("image", "img"),
            size: real("size", 0.5),
            pieces,
            standing: shape == "standing",
            together: shape != "sweep",
            fails: flag("fails", false),
            saves: real("bookmark", 0.0) > 0.0,
            stash: real("stash", 0.0),
        };
        self.jobs.entry(job).or_insert(info);
        self.check.submitted.entry(job).or_insert(self.now);
        self.check.asked.entry(job).or_insert(asked);
        let body = body.to_string().into_bytes();
        self.bodies.entry(job).or_insert_with(|| body.clone());
        self.user(job, "submit", body, node);
    }

    pub(super) fn user(
        &mut self,
        job: u64,
        kind: &'static str,
        body: Vec<u8>,
        node: Option<usize>,
    ) {
        self.users.push(User {
            job,
            kind,
            body,
            node,
            attempt: 0,
            asked: 0,
            waiting: false,
            repeats: true,
        });
        let user = self.users.len() - 1;
        self.try_user(user);
    }

    /// One poll of many.
    pub(super) fn poll(&mut self, job: u64) {
        self.once(job, "query", Vec::new(), None);
    }

    /// A request that is not repeated, whatever comes of it.
    pub(super) fn once(
        &mut self,
        job: u64,
        kind: &'static str,
        body: Vec<u8>,
        node: Option<usize>,
    ) {
        self.users.push(User {
            job,
            kind,
            body,
            node,
            attempt: 0,
            asked: 0,
            waiting: false,
            repeats: false,
        });
        self.try_user(self.users.len() - 1);
    }

    /// A user has waited long enough for an answer.
    pub(super) fn gave_up(&mut self, user: usize, attempt: u32) {
        let u = &mut self.users[user];
        if !u.waiting || u.attempt != attempt {
            return;
        }
        u.waiting = false;
        let (job, kind, repeats) = (u.job, u.kind, u.repeats);
        if kind == "query" {
            self.check.polled(self.now, job, false);
        }
        if repeats {
            self.at(self.now + 1_000_000, Happening::UserAgain(user));
        }
    }

    pub(super) fn try_user(&mut self, user: usize) {
        let alive: Vec<usize> = (0..self.script.nodes)
            .filter(|n| self.nodes[*n].is_some())
            .collect();
        let pick = (self.dice() * alive.len() as f64) as usize;
        let u = &mut self.users[user];
        u.attempt += 1;
        u.asked = self.now;
        u.waiting = true;
        let attempt = u.attempt;
        let limit = if u.kind == "query" {
            2_000_000
        } else {
            5_000_000
        };
        let node = u.node.or_else(|| alive.get(pick).copied());
        self.at(self.now + limit, Happening::UserTimeout(user, attempt));
        if let Some(node) = node {
            let m = Message::User { node, user };
            self.at(self.now + 1_000, Happening::Deliver(Box::new(m)));
        }
    }

    pub(super) fn told(&mut self, user: usize, status: u16, state: Option<&str>) {
        let (job, kind, repeats) = (
            self.users[user].job,
            self.users[user].kind,
            self.users[user].repeats,
        );
        self.users[user].waiting = false;
        if kind == "query" {
            self.check
                .polled(self.now, job, matches!(status, 200 | 404));
        }
        self.check
            .told(self.now, self.users[user].asked, kind, job, status, state);
        self.look_closely(job);
        let over = matches!(state, Some("done" | "cancelled"));
        match kind {
            "query" if !over && repeats => {
                self.at(self.now + 3_000_000, Happening::UserAgain(user));
            }
            "submit" if repeats && matches!(status, 200 | 201) => {
                self.user(job, "query", Vec::new(), None);
            }
            "submit" | "abort" if repeats && status == 503 => {
                self.at(self.now + 1_000_000, Happening::UserAgain(user));
            }
            _ => {}
        }
    }
}
