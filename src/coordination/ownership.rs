//! Leases, liveness, and who owns which slice under which term.

use super::{Controller, Purpose};
use crate::bookkeeping::ids::Slice;
use crate::bookkeeping::records::{FIRST_LAYOUT, Key, MetaRecord, NodeRecord, OwnRecord, is_ruled};
use crate::bookkeeping::starts::Starts;
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::Job;
use crate::protocol::settings::Team;
use crate::protocol::state::{CallError, Put, StateReply, StateRequest, Txn, encode};
use std::collections::{BTreeMap, BTreeSet};

/// An unbroken ownership of a slice by this process.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    /// The first of its terms: a worker that reports this token or a later one can no longer be
    /// commanded by any earlier owner.
    pub first: u64,
    /// When it began.
    pub since: Micros,
}

/// What this process owns, and its lease.
#[derive(Debug, Default)]
pub struct Ownership {
    tenures: Vec<Option<Tenure>>,
    /// A record of this revision or an older one begins no tenure.
    lost: Vec<u64>,
    lease: Option<u64>,
    granting: bool,
    touching: bool,
    writing: bool,
    claiming: bool,
    next_lease: Micros,
    next_node: Micros,
    next_claim: Micros,
    next_rebalance: Micros,

    meta_at: Micros,
    ready_since: Option<Micros>,
    /// Recent starts of this controller, this one included, once it is known of earlier ones.
    starts: Option<Starts>,
    /// Controllers that were last said to end too often to take slices.
    unsteady: BTreeSet<String>,
    raise: Vec<Slice>,
    /// The layout that each controller was last seen to understand, alive or not: one that has a new
    /// version comes back with it.
    understood: BTreeMap<String, u32>,
    /// Controllers whose new version was last said to be waited for.
    waited_for: Vec<String>,
    /// The layout of the records when the copy was last looked at.
    layout: u32,
}

impl Ownership {
    fn size_for(&mut self, k: Slice) {
        if self.tenures.len() <= k {
            self.tenures.resize(k + 1, None);
            self.lost.resize(k + 1, 0);
        }
    }

    /// The tenure of a slice, if this process owns it.
    pub fn tenure(&self, k: Slice) -> Option<Tenure> {
        self.tenures.get(k).copied().flatten()
    }

    /// Something changed that may call for a claim: no need to wait for the next look.
    pub fn look(&mut self) {
        self.next_claim = Micros::ZERO;
    }

    /// Asks for a new term of a slice that this process owns, once a launch has been without an
    /// answer for a while: the answer may still come, or the worker's next session.
    pub fn raise_later(&mut self, k: Slice, unsettled_since: Micros, now: Micros) {
        if now.since(unsettled_since) > Micros::secs(3) && !self.raise.contains(&k) {
            self.raise.push(k);
        }
    }
}

impl Controller {
    fn lease_life(&self) -> Micros {
        Micros::millis(self.op.node_lease_ms)
    }

    pub(super) fn me(&self) -> OwnRecord {
        OwnRecord {
            node: self.cfg.node.clone(),
            run: self.run,
        }
    }

    pub(super) fn pump_ownership(&mut self) {
        self.pump_lease();
        if !self.reader.ready() {
            return;
        }
        let now = self.now.steady;
        self.ownership.ready_since.get_or_insert(now);
        if self.view.meta.value.is_none() {
            self.pump_meta();
            return;
        }
        self.pump_layout();
        self.pump_teams();
        self.pump_node();
        if now >= self.ownership.next_claim && !self.ownership.claiming {
            self.pump_claims();
        }
        self.wake_at(self.ownership.next_claim.max(now + Micros::millis(1)));
    }

    fn pump_lease(&mut self) {
        let now = self.now.steady;
        let o = &mut self.ownership;
        if o.granting || o.touching {
            return;
        }
        if now < o.next_lease {
            let at = o.next_lease;
            self.wake_at(at);
            return;
        }
        self.budget.force(now, 0);
        match self.ownership.lease {
            None => {
                self.ownership.granting = true;
                let life = self.lease_life();
                self.ask_state(Purpose::Grant, StateRequest::Grant(life));
            }
            Some(id) => {
                self.ownership.touching = true;
                self.ask_state(Purpose::Touch, StateRequest::Touch(id));
            }
        }
    }

    pub(super) fn on_grant(&mut self, result: Result<StateReply, CallError>) {
        self.ownership.granting = false;
        self.ownership.next_node = self.now.steady;
        match result {
            Ok(StateReply::Lease(id)) => {
                self.ownership.lease = Some(id);
                self.ownership.next_lease = self.now.steady + Micros(self.lease_life().0 / 3);
            }
            _ => self.ownership.next_lease = self.now.steady + Micros::millis(300),
        }
    }

    pub(super) fn on_touched(&mut self, sent: Micros, result: Result<StateReply, CallError>) {
        self.ownership.touching = false;
        match result {
            Ok(StateReply::Touched) => {
                self.ownership.next_lease = sent + Micros(self.lease_life().0 / 3);
            }
            Ok(StateReply::NoLease) => {
                tracing::info!("the node's lease has ended");
                self.ownership.lease = None;
                self.ownership.next_lease = self.now.steady;
            }
            _ => self.ownership.next_lease = self.now.steady + Micros::millis(300),
        }
    }

    fn pump_meta(&mut self) {
        let now = self.now.steady;
        if now < self.ownership.meta_at {
            self.wake_at(self.ownership.meta_at);
            return;
        }
        self.ownership.meta_at = now + Micros::millis(500);
        let shares: Vec<&str> = self
            .cfg
            .teams
            .iter()
            .filter(|t| t.has_share())
            .map(|t| t.name.as_str())
            .collect();
        // Each slice is one more record in many rounds, so there are no more than spread the work.
        let slices = self
            .op
            .slices
            .unwrap_or(self.cfg.controllers().max(shares.len()).clamp(1, 64));
        let teams: BTreeMap<String, Slice> = shares
            .into_iter()
            .enumerate()
            .map(|(i, t)| (t.to_owned(), i % slices))
            .collect();
        let txn = Txn {
            when: vec![(Key::Meta, 0)],
            then: vec![Put {
                key: Key::Meta,
                value: encode(&MetaRecord {
                    layout: FIRST_LAYOUT,
                    slices,
                    teams,
                }),
                lease_id: None,
            }],
        };
        self.budget.force(now, 1);
        self.ask_state(Purpose::Meta, StateRequest::Txn(txn));
    }

    /// Acts on it if the layout of the records has changed.
    pub(super) fn note_layout(&mut self) {
        let layout = self.view.layout();
        if std::mem::replace(&mut self.ownership.layout, layout) != layout {
            tracing::info!(layout, "the layout of the records");
            self.find_large();
        }
    }

    /// Notes which layouts the live controllers understand.
    pub(super) fn note_versions(&mut self) {
        for (name, node) in &self.view.nodes {
            self.ownership
                .understood
                .insert(name.clone(), node.value.layout.unwrap_or(FIRST_LAYOUT));
        }
    }

    /// Raises the layout of the records, once every controller of the deploy file is known to understand
    /// the new one. That is done once, by whoever is first, and never taken back.
    fn pump_layout(&mut self) {
        let now = self.now.steady;
        let Some(meta) = &self.view.meta.value else {
            return;
        };
        let wanted = self.wanted_layout();
        if meta.layout >= wanted || now < self.ownership.meta_at {
            return;
        }
        let all = self
            .cfg
            .others
            .iter()
            .map(|o| &o.node)
            .chain([&self.cfg.node]);
        let old = |n: &&String| {
            self.ownership
                .understood
                .get(*n)
                .is_none_or(|l| *l < wanted)
        };
        let waiting: Vec<String> = all.clone().filter(old).cloned().collect();
        // What all understand of the layouts between is raised meanwhile.
        let known = |n: &String| self.ownership.understood.get(n).copied().unwrap_or(0);
        let raised = all.map(known).min().unwrap_or(0).min(wanted);
        if !waiting.is_empty() && waiting != self.ownership.waited_for {
            tracing::info!(controllers = ?waiting, "waiting for the new version of these before new records are written");
            self.ownership.waited_for = waiting;
        }
        // Rules that are kept are not given up: whoever was not seen since they were turned on is waited for.
        if raised <= meta.layout || is_ruled(meta.layout) && !is_ruled(raised) {
            return;
        }
        self.ownership.meta_at = now + Micros::millis(500);
        tracing::info!(
            layout = raised,
            "all controllers have the new version: raising the layout of the records"
        );
        let record = MetaRecord {
            layout: raised,
            ..meta.clone()
        };
        // A controller that comes back in this moment would be missed: then this fails, and is tried again.
        let nodes = self
            .view
            .nodes
            .iter()
            .map(|(n, s)| (Key::Node(n.clone()), s.mod_revision));
        let when = [(Key::Meta, self.view.meta.mod_revision)]
            .into_iter()
            .chain(nodes);
        let txn = Txn {
            when: when.take(self.limits.txn_ops() * 4).collect(),
            then: vec![Put {
                key: Key::Meta,
                value: encode(&record),
                lease_id: None,
            }],
        };
        self.budget.force(now, 1);
        self.ask_state(Purpose::Meta, StateRequest::Txn(txn));
    }

    /// Whether a team of the deploy file has a guarantee or a limit, but no slice of its own yet: a later
    /// file added it. Its jobs are spread over all slices, so nobody could keep its limit.
    pub(super) fn unplaced(&self, team: &Team) -> bool {
        team.has_share()
            && self
                .view
                .meta
                .value
                .as_ref()
                .is_some_and(|m| !m.teams.contains_key(&team.name))
    }

    /// Gives such teams a slice, once nothing of theirs is booked or kept in any: nothing is booked for
    /// them meanwhile, and what was planned before then fails, since bookings are conditional on the
    /// teams' slices.
    fn pump_teams(&mut self) {
        let now = self.now.steady;
        let Some(meta) = &self.view.meta.value else {
            return;
        };
        if !self.cfg.teams.iter().any(|t| self.unplaced(t)) {
            return;
        }
        let mut record = meta.clone();
        for t in self.cfg.teams.iter().filter(|t| self.unplaced(t)) {
            let none = (0..self.view.usage.len()).all(|k| self.view.used(k, &t.name) == (0, 0));
            let kept = |j: &Job| j.spec().team == t.name && !j.record.finished.covers(&j.ends);
            if none && !self.view.jobs.values().any(kept) {
                let k = record.teams.len() % record.slices.max(1);
                record.teams.insert(t.name.clone(), k);
            }
        }
        if record.teams.len() == meta.teams.len() {
            return;
        }
        if now < self.ownership.meta_at {
            self.wake_at(self.ownership.meta_at);
            return;
        }
        self.ownership.meta_at = now + Micros::millis(500);
        let value = encode(&record);
        if value
            .as_ref()
            .is_none_or(|v| v.get().len() > self.limits.value_bytes())
        {
            return;
        }
        tracing::info!(teams = ?record.teams, "teams of a later deploy file get slices");
        let txn = Txn {
            when: vec![(Key::Meta, self.view.meta.mod_revision)],
            then: vec![Put {
                key: Key::Meta,
                value,
                lease_id: None,
            }],
        };
        self.budget.force(now, 1);
        self.ask_state(Purpose::Meta, StateRequest::Txn(txn));
    }

    fn alive(&self) -> bool {
        let mine = self.view.nodes.get(&self.cfg.node);
        mine.is_some_and(|n| n.value.run == self.run)
    }

    /// Keeps the node's own record as it should be: there, unless the node has withdrawn.
    fn pump_node(&mut self) {
        let now = self.now.steady;
        let Some(lease) = self.ownership.lease else {
            return;
        };
        let gone = self.reach.withdrawn();
        let key = Key::Node(self.cfg.node.clone());
        let mod_revision = self.view.mod_revision(&key);
        if self.ownership.writing
            || if gone {
                mod_revision == 0
            } else {
                self.alive()
            }
        {
            return;
        }
        if now < self.ownership.next_node {
            self.wake_at(self.ownership.next_node);
            return;
        }
        let value = if gone {
            None
        } else {
            let layout = self.wanted_layout();
            let before = self
                .view
                .nodes
                .get(&self.cfg.node)
                .map(|n| n.value.starts.clone())
                .unwrap_or_default();
            let starts = self
                .ownership
                .starts
                .get_or_insert_with(|| before.and(self.now.day))
                .clone();
            encode(&NodeRecord {
                run: self.run,
                layout: (layout > FIRST_LAYOUT).then_some(layout),
                rules: self.rules.digest(),
                starts,
            })
        };
        let lease_id = (!gone).then_some(lease);
        let txn = Txn {
            when: vec![(key.clone(), mod_revision)],
            then: vec![Put {
                key,
                value,
                lease_id,
            }],
        };
        self.ownership.writing = true;
        self.budget.force(now, 1);
        self.ask_state(Purpose::Node, StateRequest::Txn(txn));
    }

    pub(super) fn on_node_written(&mut self, result: Result<StateReply, CallError>) {
        self.ownership.writing = false;
        self.ownership.next_node = self.now.steady + Micros::millis(400);
        self.reader.want_barrier();
        if matches!(result, Ok(StateReply::NoLease)) {
            self.ownership.lease = None;
            self.ownership.next_lease = self.now.steady;
        }
    }

    fn pump_claims(&mut self) {
        let now = self.now.steady;
        self.ownership.next_claim = now + Micros::millis(1_000);
        if self.absence.in_doubt() || !self.alive() || self.reach.withdrawn() {
            return;
        }
        // At the very first start the others are about to appear as well.
        let first_start = self.view.own.iter().all(|o| o.value.is_none());
        let ready = self.ownership.ready_since.unwrap_or(now);
        if first_start
            && self.view.nodes.len() < self.cfg.controllers()
            && now.since(ready) < Micros::secs(2)
        {
            self.ownership.next_claim = now + Micros::millis(100);
            return;
        }
        let (mut wanted, why) = self.wanted_slices();
        wanted.truncate(self.limits.txn_ops());
        if wanted.is_empty() {
            return;
        }
        let node = Key::Node(self.cfg.node.clone());
        let mut txn = Txn {
            when: vec![(node.clone(), self.view.mod_revision(&node))],
            then: Vec::new(),
        };
        for k in &wanted {
            txn.when
                .push((Key::Own(*k), self.view.own[*k].mod_revision));
            txn.then.push(Put {
                key: Key::Own(*k),
                value: encode(&self.me()),
                lease_id: None,
            });
        }
        tracing::info!(slices = ?wanted, why, "claiming");
        self.ownership.claiming = true;
        self.budget.force(now, wanted.len());
        self.ask_state(Purpose::Claim(wanted), StateRequest::Txn(txn));
    }

    /// Slices that this process should claim now, and why.
    fn wanted_slices(&mut self) -> (Vec<Slice>, &'static str) {
        let now = self.now.steady;
        let slices = self.view.slices();
        let revision = self.view.revision;
        let mut raise = std::mem::take(&mut self.ownership.raise);
        raise.retain(|k| self.owns(*k));
        if !raise.is_empty() {
            return (raise, "to settle launches without an answer");
        }
        self.note_unsteady();
        let steady = |n: &&String| !self.ownership.unsteady.contains(*n);
        let mut load: BTreeMap<&str, usize> = self
            .view
            .nodes
            .keys()
            .filter(steady)
            .map(|n| (n.as_str(), 0))
            .collect();
        let mut orphans = Vec::new();
        let mut mine_again = Vec::new();
        for k in 0..slices {
            match self.view.own[k].value.as_ref().filter(|o| {
                let node = self.view.nodes.get(&o.node);
                node.is_some_and(|n| n.value.run == o.run)
            }) {
                Some(o) => {
                    if let Some(n) = load.get_mut(o.node.as_str()) {
                        *n += 1;
                    }
                    let lost = self.ownership.lost.get(k).copied().unwrap_or(0);
                    if o.node == self.cfg.node && !self.owns(k) && revision >= lost {
                        mine_again.push(k);
                    }
                }
                None => orphans.push(k),
            }
        }
        if !mine_again.is_empty() {
            return (mine_again, "owned, but without an unbroken tenure");
        }
        let mut wanted = Vec::new();
        // When all have started at once, the others are about to claim as well: in the first moment
        // each takes its even share, so that none has to answer every worker and hand over again.
        let others = self.cfg.controllers();
        let just_started =
            now.since(self.ownership.ready_since.unwrap_or(now)) < Micros::millis(400);
        if just_started && self.view.nodes.len() < others {
            if !load.contains_key(self.cfg.node.as_str()) {
                return (wanted, "");
            }
            let before_me = self
                .cfg
                .others
                .iter()
                .filter(|o| o.node < self.cfg.node)
                .count();
            orphans.retain(|k| k % others == before_me);
            self.ownership.next_claim = now + Micros::millis(100);
            return (orphans, "without a live owner, its share of them");
        }
        for k in orphans {
            let Some(least) = load
                .iter()
                .min_by_key(|(name, n)| (**n, **name))
                .map(|(name, _)| *name)
            else {
                break;
            };
            if least == self.cfg.node {
                wanted.push(k);
            }
            if let Some(n) = load.get_mut(least) {
                *n += 1;
            }
        }
        if !wanted.is_empty() {
            return (wanted, "without a live owner");
        }
        let mine = load.get(self.cfg.node.as_str()).copied().unwrap_or(0);
        let (Some((rich, most)), Some((poor, _))) = (
            load.iter().max_by_key(|(name, n)| (**n, **name)),
            load.iter().min_by_key(|(name, n)| (**n, **name)),
        ) else {
            return (wanted, "");
        };
        // One at a time, the one with the least first: several would claim the same slice, and who has
        // one already would take a second before another has any.
        if *poor == self.cfg.node && *most >= mine + 2 && now >= self.ownership.next_rebalance {
            let settled = now.since(self.ownership.ready_since.unwrap_or(now)) > Micros::secs(2);
            let of_rich = |k: &Slice| {
                self.view.own[*k]
                    .value
                    .as_ref()
                    .is_some_and(|o| o.node == *rich)
            };
            // The last first: the owner of slice 0 would lose what it knows of the cloud.
            if let Some(k) = (0..slices).rev().find(of_rich).filter(|_| settled) {
                self.ownership.next_rebalance = now + Micros::millis(2_500);
                return (vec![k], "to even out");
            }
        }
        (wanted, "")
    }

    /// Notes which live controllers start too often to take slices. Where hardly any other is left, all may.
    fn note_unsteady(&mut self) {
        let day = self.now.day;
        let all = &self.view.nodes;
        let mut unsteady: BTreeSet<String> = all
            .iter()
            .filter(|(_, n)| !n.value.starts.is_steady(day))
            .map(|(name, _)| name.clone())
            .collect();
        if (all.len() - unsteady.len()) * 3 < all.len() {
            unsteady.clear();
        }
        for name in unsteady.difference(&self.ownership.unsteady) {
            let lives = all
                .get(name)
                .map_or(Micros::ZERO, |n| n.value.starts.steady_from().since(day));
            tracing::info!(
                controller = name,
                "starts again and again: takes no slices before it has lived for {lives}"
            );
        }
        for name in self.ownership.unsteady.difference(&unsteady) {
            tracing::info!(controller = name, "may take slices again, or is gone");
        }
        self.ownership.unsteady = unsteady;
    }

    pub(super) fn on_claimed(&mut self, slices: &[Slice], result: Result<StateReply, CallError>) {
        self.ownership.claiming = false;
        // The copy learns of it by reading, so that all changes up to the claim are in it too.
        self.reader.want_barrier();
        if !matches!(result, Ok(StateReply::Applied(_))) {
            tracing::info!(?slices, ?result, "the claim did not succeed");
        }
        self.ownership.next_claim = self.now.steady + Micros::millis(200);
    }

    pub(super) fn on_own_changed(&mut self, k: Slice) {
        self.ownership.size_for(k);
        self.ownership.look();
        let mod_revision = self.view.own[k].mod_revision;
        let mine = self.view.own[k].value.as_ref() == Some(&self.me());
        let held = self.ownership.tenures[k].is_some();
        if mine && !held && mod_revision > self.ownership.lost[k] {
            tracing::info!(slice = k, term = mod_revision, "took over");
            self.counters.takeovers += 1;
            self.ownership.tenures[k] = Some(Tenure {
                first: mod_revision,
                since: self.now.steady,
            });
            self.begin_sessions(k);
            self.rounds.look();
            self.find_large();
        } else if mine && held {
            // Every claim of this process since the tenure began was conditional on its own
            // record, so nobody else can have owned the slice in between.
            tracing::info!(slice = k, term = mod_revision, "raised the term");
        } else if !mine && held {
            let owner = self.view.own[k].value.as_ref().map(|o| o.node.as_str());
            tracing::info!(slice = k, term = mod_revision, owner, "lost the slice");
            self.lose_tenure(k);
        }
    }

    /// A peer has a newer term of a slice that this process thought its own.
    pub(super) fn told_newer(&mut self, k: Slice, term: u64) {
        self.lose_tenure(k);
        self.ownership.lost[k] = self.ownership.lost[k].max(term.saturating_sub(1));
        self.ownership.look();
    }

    fn lose_tenure(&mut self, k: Slice) {
        self.ownership.size_for(k);
        self.ownership.tenures[k] = None;
        self.end_sessions(k);
        if k == 0 {
            self.end_fleet();
        }
    }

    /// Ends all tenures: what was known of launches without an answer is no longer reliable.
    pub(super) fn lose_all_tenures(&mut self) {
        for k in 0..self.ownership.tenures.len() {
            self.ownership.lost[k] =
                self.ownership.lost[k].max(self.view.mod_revision(&Key::Own(k)));
            self.lose_tenure(k);
        }
    }
}
