//! Leases, liveness, and who owns which slice under which term.

use crate::coordination::{Controller, Purpose};
use crate::protocol::settings::Team;
use crate::protocol::state::{CallError, Put, StateReply, StateRequest, Txn, encode};
use crate::storage::cell_state::Job;
use crate::storage::ids::ShardId;
use crate::storage::records::{
    FIRST_LAYOUT, Key, MetaRecord, NodeRecord, ShardLeaderRecord, is_ruled,
};
use crate::storage::restart_history::RestartHistory;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// An unbroken ownership of a slice by this process.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTerm {
    /// The first of its terms: a worker that reports this token or a later one can no longer be
    /// commanded by any earlier owner.
    pub first: u64,
    /// When it began.
    pub since: Micros,
}

/// What this process owns, and its lease.
#[derive(Debug, Default)]
pub struct Leadership {
    leader_terms: Vec<Option<LeaderTerm>>,
    /// A record of this revision or an older one begins no tenure.
    lost: Vec<u64>,
    lease: Option<u64>,
    granting_lease: bool,
    renewing_lease: bool,
    writing_node_record: bool,
    claiming: bool,
    next_lease: Micros,
    next_node: Micros,
    next_claim: Micros,
    next_rebalance: Micros,

    next_meta_write: Micros,
    ready_since: Option<Micros>,
    /// Recent starts of this controller, this one included, once it is known of earlier ones.
    restart_history: Option<RestartHistory>,
    /// Controllers that were last said to end too often to take slices.
    unsteady: BTreeSet<String>,
    raise: Vec<ShardId>,
    /// The layout that each controller was last seen to understand, alive or not: one that has a new
    /// version comes back with it.
    understood: BTreeMap<String, u32>,
    /// Controllers whose new version was last said to be waited for.
    waited_for: Vec<String>,
    /// The layout of the records when the copy was last looked at.
    layout: u32,
}

impl Leadership {
    fn size_for(&mut self, k: ShardId) {
        if self.leader_terms.len() <= k {
            self.leader_terms.resize(k + 1, None);
            self.lost.resize(k + 1, 0);
        }
    }

    /// The tenure of a slice, if this process owns it.
    pub fn leader_term(&self, k: ShardId) -> Option<LeaderTerm> {
        self.leader_terms.get(k).copied().flatten()
    }

    /// Something changed that may call for a claim: no need to wait for the next look.
    pub fn schedule_check(&mut self) {
        self.next_claim = Micros::ZERO;
    }

    /// Asks for a new term of a slice that this process owns, once a launch has been without an
    /// answer for a while: the answer may still come, or the worker's next session.
    pub fn request_new_term(&mut self, k: ShardId, unsettled_since: Micros, now: Micros) {
        if now.since(unsettled_since) > Micros::secs(3) && !self.raise.contains(&k) {
            self.raise.push(k);
        }
    }
}

impl Controller {
    fn lease_life(&self) -> Micros {
        Micros::millis(self.operator_settings.node_lease_ms)
    }

    pub(super) fn leader_record(&self) -> ShardLeaderRecord {
        ShardLeaderRecord {
            node: self.settings.node.clone(),
            run: self.incarnation,
        }
    }

    pub(super) fn drive_leadership(&mut self) {
        self.drive_lease();
        if !self.replica.ready() {
            return;
        }
        let now = self.now.steady;
        self.leadership.ready_since.get_or_insert(now);
        if self.cell.meta.value.is_none() {
            self.drive_meta();
            return;
        }
        self.drive_format_upgrade();
        self.drive_team_shards();
        self.drive_node_record();
        if now >= self.leadership.next_claim && !self.leadership.claiming {
            self.drive_claims();
        }
        self.wake_at(self.leadership.next_claim.max(now + Micros::millis(1)));
    }

    fn drive_lease(&mut self) {
        let now = self.now.steady;
        let o = &mut self.leadership;
        if o.granting_lease || o.renewing_lease {
            return;
        }
        if now < o.next_lease {
            let at = o.next_lease;
            self.wake_at(at);
            return;
        }
        self.budget.force(now, 0);
        match self.leadership.lease {
            None => {
                self.leadership.granting_lease = true;
                let life = self.lease_life();
                self.ask_state(Purpose::LeaseGrant, StateRequest::LeaseGrant(life));
            }
            Some(id) => {
                self.leadership.renewing_lease = true;
                self.ask_state(Purpose::LeaseKeepAlive, StateRequest::LeaseKeepAlive(id));
            }
        }
    }

    pub(super) fn on_lease_granted(&mut self, result: Result<StateReply, CallError>) {
        self.leadership.granting_lease = false;
        self.leadership.next_node = self.now.steady;
        match result {
            Ok(StateReply::Lease(id)) => {
                self.leadership.lease = Some(id);
                self.leadership.next_lease = self.now.steady + Micros(self.lease_life().0 / 3);
            }
            _ => self.leadership.next_lease = self.now.steady + Micros::millis(300),
        }
    }

    pub(super) fn on_lease_kept_alive(
        &mut self,
        sent: Micros,
        result: Result<StateReply, CallError>,
    ) {
        self.leadership.renewing_lease = false;
        match result {
            Ok(StateReply::LeaseKeptAlive) => {
                self.leadership.next_lease = sent + Micros(self.lease_life().0 / 3);
            }
            Ok(StateReply::NoLease) => {
                tracing::info!("the node's lease has ended");
                self.leadership.lease = None;
                self.leadership.next_lease = self.now.steady;
            }
            _ => self.leadership.next_lease = self.now.steady + Micros::millis(300),
        }
    }

    fn drive_meta(&mut self) {
        let now = self.now.steady;
        if now < self.leadership.next_meta_write {
            self.wake_at(self.leadership.next_meta_write);
            return;
        }
        self.leadership.next_meta_write = now + Micros::millis(500);
        let shares: Vec<&str> = self
            .settings
            .teams
            .iter()
            .filter(|t| t.has_share())
            .map(|t| t.name.as_str())
            .collect();
        // Each slice is one more record in many rounds, so there are no more than spread the work.
        let shards = self
            .operator_settings
            .shards
            .unwrap_or(self.settings.controllers().max(shares.len()).clamp(1, 64));
        let teams: BTreeMap<String, ShardId> = shares
            .into_iter()
            .enumerate()
            .map(|(i, t)| (t.to_owned(), i % shards))
            .collect();
        let txn = Txn {
            when: vec![(Key::Meta, 0)],
            then: vec![Put {
                key: Key::Meta,
                value: encode(&MetaRecord {
                    layout: FIRST_LAYOUT,
                    shards,
                    teams,
                }),
                lease_id: None,
            }],
        };
        self.budget.force(now, 1);
        self.ask_state(Purpose::Meta, StateRequest::Txn(txn));
    }

    /// Acts on it if the layout of the records has changed.
    pub(super) fn on_format_observed(&mut self) {
        let layout = self.cell.layout();
        if std::mem::replace(&mut self.leadership.layout, layout) != layout {
            tracing::info!(layout, "the layout of the records");
            self.find_large();
        }
    }

    /// Notes which layouts the live controllers understand.
    pub(super) fn update_known_formats(&mut self) {
        for (name, node) in &self.cell.nodes {
            self.leadership
                .understood
                .insert(name.clone(), node.value.layout.unwrap_or(FIRST_LAYOUT));
        }
    }

    /// Raises the layout of the records, once every controller of the deploy file is known to understand
    /// the new one. That is done once, by whoever is first, and never taken back.
    fn drive_format_upgrade(&mut self) {
        let now = self.now.steady;
        let Some(meta) = &self.cell.meta.value else {
            return;
        };
        let wanted = self.wanted_layout();
        if meta.layout >= wanted || now < self.leadership.next_meta_write {
            return;
        }
        let all = self
            .settings
            .others
            .iter()
            .map(|o| &o.node)
            .chain([&self.settings.node]);
        let old = |n: &&String| {
            self.leadership
                .understood
                .get(*n)
                .is_none_or(|l| *l < wanted)
        };
        let waiting: Vec<String> = all.clone().filter(old).cloned().collect();
        // What all understand of the layouts between is raised meanwhile.
        let known = |n: &String| self.leadership.understood.get(n).copied().unwrap_or(0);
        let raised = all.map(known).min().unwrap_or(0).min(wanted);
        if !waiting.is_empty() && waiting != self.leadership.waited_for {
            tracing::info!(controllers = ?waiting, "waiting for the new version of these before new records are written");
            self.leadership.waited_for = waiting;
        }
        // Rules that are kept are not given up: whoever was not seen since they were turned on is waited for.
        if raised <= meta.layout || is_ruled(meta.layout) && !is_ruled(raised) {
            return;
        }
        self.leadership.next_meta_write = now + Micros::millis(500);
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
            .cell
            .nodes
            .iter()
            .map(|(n, s)| (Key::Node(n.clone()), s.mod_revision));
        let when = [(Key::Meta, self.cell.meta.mod_revision)]
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
    pub(super) fn has_no_shard(&self, team: &Team) -> bool {
        team.has_share()
            && self
                .cell
                .meta
                .value
                .as_ref()
                .is_some_and(|m| !m.teams.contains_key(&team.name))
    }

    /// Gives such teams a slice, once nothing of theirs is booked or kept in any: nothing is booked for
    /// them meanwhile, and what was planned before then fails, since bookings are conditional on the
    /// teams' slices.
    fn drive_team_shards(&mut self) {
        let now = self.now.steady;
        let Some(meta) = &self.cell.meta.value else {
            return;
        };
        if !self.settings.teams.iter().any(|t| self.has_no_shard(t)) {
            return;
        }
        let mut record = meta.clone();
        for t in self.settings.teams.iter().filter(|t| self.has_no_shard(t)) {
            let none = (0..self.cell.usage.len()).all(|k| self.cell.used(k, &t.name) == (0, 0));
            let kept = |j: &Job| j.spec().team == t.name && !j.record.finished.covers(&j.ends);
            if none && !self.cell.jobs.values().any(kept) {
                let k = record.teams.len() % record.shards.max(1);
                record.teams.insert(t.name.clone(), k);
            }
        }
        if record.teams.len() == meta.teams.len() {
            return;
        }
        if now < self.leadership.next_meta_write {
            self.wake_at(self.leadership.next_meta_write);
            return;
        }
        self.leadership.next_meta_write = now + Micros::millis(500);
        let value = encode(&record);
        if value
            .as_ref()
            .is_none_or(|v| v.get().len() > self.limits.value_bytes())
        {
            return;
        }
        tracing::info!(teams = ?record.teams, "teams of a later deploy file get slices");
        let txn = Txn {
            when: vec![(Key::Meta, self.cell.meta.mod_revision)],
            then: vec![Put {
                key: Key::Meta,
                value,
                lease_id: None,
            }],
        };
        self.budget.force(now, 1);
        self.ask_state(Purpose::Meta, StateRequest::Txn(txn));
    }

    fn is_alive(&self) -> bool {
        let mine = self.cell.nodes.get(&self.settings.node);
        mine.is_some_and(|n| n.value.run == self.incarnation)
    }

    /// Keeps the node's own record as it should be: there, unless the node has withdrawn.
    fn drive_node_record(&mut self) {
        let now = self.now.steady;
        let Some(lease) = self.leadership.lease else {
            return;
        };
        let gone = self.connectivity.is_withdrawn();
        let key = Key::Node(self.settings.node.clone());
        let mod_revision = self.cell.mod_revision(&key);
        if self.leadership.writing_node_record
            || if gone {
                mod_revision == 0
            } else {
                self.is_alive()
            }
        {
            return;
        }
        if now < self.leadership.next_node {
            self.wake_at(self.leadership.next_node);
            return;
        }
        let value = if gone {
            None
        } else {
            let layout = self.wanted_layout();
            let before = self
                .cell
                .nodes
                .get(&self.settings.node)
                .map(|n| n.value.restart_history.clone())
                .unwrap_or_default();
            let restart_history = self
                .leadership
                .restart_history
                .get_or_insert_with(|| before.and(self.now.day))
                .clone();
            encode(&NodeRecord {
                run: self.incarnation,
                layout: (layout > FIRST_LAYOUT).then_some(layout),
                rules: self.rules.digest(),
                restart_history,
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
        self.leadership.writing_node_record = true;
        self.budget.force(now, 1);
        self.ask_state(Purpose::Node, StateRequest::Txn(txn));
    }

    pub(super) fn on_node_written(&mut self, result: Result<StateReply, CallError>) {
        self.leadership.writing_node_record = false;
        self.leadership.next_node = self.now.steady + Micros::millis(400);
        self.replica.want_barrier();
        if matches!(result, Ok(StateReply::NoLease)) {
            self.leadership.lease = None;
            self.leadership.next_lease = self.now.steady;
        }
    }

    fn drive_claims(&mut self) {
        let now = self.now.steady;
        self.leadership.next_claim = now + Micros::millis(1_000);
        if self.stall.in_doubt() || !self.is_alive() || self.connectivity.is_withdrawn() {
            return;
        }
        // At the very first start the others are about to appear as well.
        let first_start = self.cell.leaders.iter().all(|o| o.value.is_none());
        let ready = self.leadership.ready_since.unwrap_or(now);
        if first_start
            && self.cell.nodes.len() < self.settings.controllers()
            && now.since(ready) < Micros::secs(2)
        {
            self.leadership.next_claim = now + Micros::millis(100);
            return;
        }
        let (mut wanted, why) = self.shards_to_claim();
        wanted.truncate(self.limits.txn_ops());
        if wanted.is_empty() {
            return;
        }
        let node = Key::Node(self.settings.node.clone());
        let mut txn = Txn {
            when: vec![(node.clone(), self.cell.mod_revision(&node))],
            then: Vec::new(),
        };
        for k in &wanted {
            txn.when
                .push((Key::ShardLeader(*k), self.cell.leaders[*k].mod_revision));
            txn.then.push(Put {
                key: Key::ShardLeader(*k),
                value: encode(&self.leader_record()),
                lease_id: None,
            });
        }
        tracing::info!(shards = ?wanted, why, "claiming");
        self.leadership.claiming = true;
        self.budget.force(now, wanted.len());
        self.ask_state(Purpose::Claim(wanted), StateRequest::Txn(txn));
    }

    /// Slices that this process should claim now, and why.
    fn shards_to_claim(&mut self) -> (Vec<ShardId>, &'static str) {
        let now = self.now.steady;
        let shards = self.cell.shards();
        let revision = self.cell.revision;
        let mut raise = std::mem::take(&mut self.leadership.raise);
        raise.retain(|k| self.leads(*k));
        if !raise.is_empty() {
            return (raise, "to settle launches without an answer");
        }
        self.update_unsteady_controllers();
        let steady = |n: &&String| !self.leadership.unsteady.contains(*n);
        let mut load: BTreeMap<&str, usize> = self
            .cell
            .nodes
            .keys()
            .filter(steady)
            .map(|n| (n.as_str(), 0))
            .collect();
        let mut orphans = Vec::new();
        let mut mine_again = Vec::new();
        for k in 0..shards {
            match self.cell.leaders[k].value.as_ref().filter(|o| {
                let node = self.cell.nodes.get(&o.node);
                node.is_some_and(|n| n.value.run == o.run)
            }) {
                Some(o) => {
                    if let Some(n) = load.get_mut(o.node.as_str()) {
                        *n += 1;
                    }
                    let lost = self.leadership.lost.get(k).copied().unwrap_or(0);
                    if o.node == self.settings.node && !self.leads(k) && revision >= lost {
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
        let others = self.settings.controllers();
        let just_started =
            now.since(self.leadership.ready_since.unwrap_or(now)) < Micros::millis(400);
        if just_started && self.cell.nodes.len() < others {
            if !load.contains_key(self.settings.node.as_str()) {
                return (wanted, "");
            }
            let before_me = self
                .settings
                .others
                .iter()
                .filter(|o| o.node < self.settings.node)
                .count();
            orphans.retain(|k| k % others == before_me);
            self.leadership.next_claim = now + Micros::millis(100);
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
            if least == self.settings.node {
                wanted.push(k);
            }
            if let Some(n) = load.get_mut(least) {
                *n += 1;
            }
        }
        if !wanted.is_empty() {
            return (wanted, "without a live owner");
        }
        let mine = load.get(self.settings.node.as_str()).copied().unwrap_or(0);
        let (Some((rich, most)), Some((poor, _))) = (
            load.iter().max_by_key(|(name, n)| (**n, **name)),
            load.iter().min_by_key(|(name, n)| (**n, **name)),
        ) else {
            return (wanted, "");
        };
        // One at a time, the one with the least first: several would claim the same slice, and who has
        // one already would take a second before another has any.
        if *poor == self.settings.node && *most >= mine + 2 && now >= self.leadership.next_rebalance
        {
            let settled = now.since(self.leadership.ready_since.unwrap_or(now)) > Micros::secs(2);
            let of_rich = |k: &ShardId| {
                self.cell.leaders[*k]
                    .value
                    .as_ref()
                    .is_some_and(|o| o.node == *rich)
            };
            // The last first: the owner of slice 0 would lose what it knows of the cloud.
            if let Some(k) = (0..shards).rev().find(of_rich).filter(|_| settled) {
                self.leadership.next_rebalance = now + Micros::millis(2_500);
                return (vec![k], "to even out");
            }
        }
        (wanted, "")
    }

    /// Notes which live controllers start too often to take slices. Where hardly any other is left, all may.
    fn update_unsteady_controllers(&mut self) {
        let day = self.now.day;
        let all = &self.cell.nodes;
        let mut unsteady: BTreeSet<String> = all
            .iter()
            .filter(|(_, n)| !n.value.restart_history.is_steady(day))
            .map(|(name, _)| name.clone())
            .collect();
        if (all.len() - unsteady.len()) * 3 < all.len() {
            unsteady.clear();
        }
        for name in unsteady.difference(&self.leadership.unsteady) {
            let lives = all.get(name).map_or(Micros::ZERO, |n| {
                n.value.restart_history.steady_from().since(day)
            });
            tracing::info!(
                controller = name,
                "starts again and again: takes no slices before it has lived for {lives}"
            );
        }
        for name in self.leadership.unsteady.difference(&unsteady) {
            tracing::info!(controller = name, "may take slices again, or is gone");
        }
        self.leadership.unsteady = unsteady;
    }

    pub(super) fn on_claimed(&mut self, shards: &[ShardId], result: Result<StateReply, CallError>) {
        self.leadership.claiming = false;
        // The copy learns of it by reading, so that all changes up to the claim are in it too.
        self.replica.want_barrier();
        if !matches!(result, Ok(StateReply::Applied(_))) {
            tracing::info!(?shards, ?result, "the claim did not succeed");
        }
        self.leadership.next_claim = self.now.steady + Micros::millis(200);
    }

    pub(super) fn on_leader_changed(&mut self, k: ShardId) {
        self.leadership.size_for(k);
        self.leadership.schedule_check();
        let mod_revision = self.cell.leaders[k].mod_revision;
        let mine = self.cell.leaders[k].value.as_ref() == Some(&self.leader_record());
        let held = self.leadership.leader_terms[k].is_some();
        if mine && !held && mod_revision > self.leadership.lost[k] {
            tracing::info!(shard = k, term = mod_revision, "took over");
            self.counters.failovers += 1;
            self.leadership.leader_terms[k] = Some(LeaderTerm {
                first: mod_revision,
                since: self.now.steady,
            });
            self.begin_agents(k);
            self.rounds.request();
            self.find_large();
        } else if mine && held {
            // Every claim of this process since the tenure began was conditional on its own
            // record, so nobody else can have owned the slice in between.
            tracing::info!(shard = k, term = mod_revision, "raised the term");
        } else if !mine && held {
            let owner = self.cell.leaders[k].value.as_ref().map(|o| o.node.as_str());
            tracing::info!(shard = k, term = mod_revision, owner, "lost the slice");
            self.step_down(k);
        }
    }

    /// A peer has a newer term of a slice that this process thought its own.
    pub(super) fn on_newer_term(&mut self, k: ShardId, term: u64) {
        self.step_down(k);
        self.leadership.lost[k] = self.leadership.lost[k].max(term.saturating_sub(1));
        self.leadership.schedule_check();
    }

    fn step_down(&mut self, k: ShardId) {
        self.leadership.size_for(k);
        self.leadership.leader_terms[k] = None;
        self.end_agents(k);
        if k == 0 {
            self.end_autoscaler();
        }
    }

    /// Ends all tenures: what was known of launches without an answer is no longer reliable.
    pub(super) fn step_down_everywhere(&mut self) {
        for k in 0..self.leadership.leader_terms.len() {
            self.leadership.lost[k] =
                self.leadership.lost[k].max(self.cell.mod_revision(&Key::ShardLeader(k)));
            self.step_down(k);
        }
    }
}
