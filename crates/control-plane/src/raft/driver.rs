//! One member's turn with the raft library and the store, on a thread of its own: jobs, ticks, what is ready to be stored,
//! told and applied, and the leader's wishes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::act::What;
use gaugestep_config::schema::peer::Said;
use gaugestep_config::schema::{self, Act, Member, RaftChange, Renew, Renewed, Yield};
use gaugestep_leadership::RoleHolder;
use gaugestep_leadership::group_state::{CommandRejected, GroupState, Outcome, StateChange};
use gaugestep_leadership::lease::{LeaseAction, LeaseGrantor, LeaseTiming};
use gaugestep_leadership::pending_proposals::{PendingProposals, Proposal};
use gaugestep_storage::control_store::{ControlStore, WriteBatch};
use prost::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, EntryType, Message, MessageType, Snapshot};
use raft::{Config, RawNode, StateRole};

use crate::raft::recovery::{RecoveredState, corrupt, encode_pair};
use crate::raft::replica::{OnChange, Replica, ReplicaState, Request, Responder};
use crate::raft::storage::RaftStorage;
use crate::{clock, lock, raft::codec, raft::transport};

/// Between two ticks of the library's clock; an election begins after 10 to 20 without a word of the leader.
const TICK: Duration = Duration::from_millis(100);
const ELECTION: usize = 10;
const HEARTBEAT: usize = 2;
/// Entries of the log that are kept behind the one applied last, and how many more there must be to let go of them.
const LOG_KEPT: u64 = 256;
const LOG_MUCH: u64 = 1_024;
/// Bytes of entries in one message.
const MESSAGE: u64 = 256 * 1024;
/// Jobs taken before what they lead to is stored.
const AT_ONCE: usize = 256;
/// One turn with the library and the store.
pub(crate) struct RaftDriver<'a> {
    group: &'a Arc<Replica>,
    on_change: &'a OnChange,
    raw: RawNode<RaftStorage>,
    log: RaftStorage,
    store: ControlStore,
    grantor: LeaseGrantor,
    proposals: PendingProposals,
    /// Who waits for what was proposed.
    waiting: BTreeMap<u64, Responder>,
    /// What changed since the service was told.
    changes: Vec<StateChange>,
    /// Acts that were applied, for those who wait.
    ended: Vec<(u64, Outcome)>,
}

/// Passes what the library logs on.
struct Bridge;

impl slog::Drain for Bridge {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        match record.level() {
            slog::Level::Critical | slog::Level::Error => tracing::error!("raft: {}", record.msg()),
            slog::Level::Warning => tracing::debug!("raft: {}", record.msg()),
            _ => tracing::trace!("raft: {}", record.msg()),
        }
        Ok(())
    }
}

impl<'a> RaftDriver<'a> {
    pub(crate) fn start(
        group: &'a Arc<Replica>,
        opened: RecoveredState,
        turn: u64,
        on_change: &'a OnChange,
    ) -> Result<Self, String> {
        let RecoveredState { store, charter, hard, members, base, applied, entries, .. } = opened;
        let (own, alone) = (group.own.number, members.voters == [group.own.number]);
        {
            let mut view = lock(&group.view);
            (view.charter, view.applied, view.broken) = (charter, applied, None);
            view.voters = members.voters.iter().copied().collect();
        }
        let sent = Arc::downgrade(group);
        let whole = move || {
            sent.upgrade().map(|it| lock(&it.view).charter.to_snapshot().encode_to_vec()).unwrap_or_default()
        };
        let log = RaftStorage::new(hard, members, base, entries, applied, Box::new(whole));
        let config = Config {
            id: own,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied,
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(Bridge, slog::o!());
        let mut raw = RawNode::new(&config, log.clone(), &logger).map_err(|error| error.to_string())?;
        if alone {
            // Nobody else can lead: no need to wait for a word of a leader.
            raw.campaign().map_err(|error| error.to_string())?;
        }
        Ok(RaftDriver {
            group,
            on_change,
            raw,
            log,
            store,
            grantor: LeaseGrantor::new(LeaseTiming::default()),
            proposals: PendingProposals::new(turn << 32),
            waiting: BTreeMap::new(),
            changes: Vec::new(),
            ended: Vec::new(),
        })
    }

    pub(crate) fn run(mut self, work: &Receiver<Request>) -> Result<(), String> {
        let ended = self.work(work);
        for (_, tell) in std::mem::take(&mut self.waiting) {
            tell(Err("the store of this member has failed".into()));
        }
        ended
    }

    fn work(&mut self, work: &Receiver<Request>) -> Result<(), String> {
        let mut tick = Instant::now();
        let mut keys = Instant::now();
        loop {
            let mut next = match work.recv_timeout(tick.saturating_duration_since(Instant::now())) {
                Ok(job) => Some(job),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            for _ in 0..AT_ONCE {
                let Some(job) = next.take() else { break };
                self.handle(job);
                next = work.try_recv().ok();
            }
            if let Some(job) = next {
                self.handle(job);
            }
            let ticks = Instant::now() >= tick;
            if ticks {
                // One tick however long this process stood still: it must hear others before it stands for election.
                tick = Instant::now() + TICK;
                self.raw.tick();
                self.group.links.wake();
                if keys.elapsed() >= Duration::from_secs(1) {
                    keys = Instant::now();
                    if let Some((keys, _)) = self.group.client_keys() {
                        keys.reload_if_changed();
                    }
                }
            }
            self.process_ready()?;
            self.on_clock(ticks || !self.changes.is_empty());
            self.process_ready()?;
            let changes = std::mem::take(&mut self.changes);
            if changes.contains(&StateChange::MembersChanged) {
                transport::connect_missing(self.group);
                let gone = lock(&self.group.view).charter.removed.contains(&self.group.own.number);
                if gone {
                    self.group.abort_process("this member was removed from its group");
                }
            }
            (self.on_change)(&changes);
            for (number, outcome) in std::mem::take(&mut self.ended) {
                if let Some(tell) = self.waiting.remove(&number).filter(|_| self.proposals.complete(number)) {
                    tell(Ok(outcome));
                }
            }
        }
    }

    fn handle(&mut self, job: Request) {
        let now = clock::now();
        match job {
            Request::Propose(act, tell) => {
                let number = match self.proposals.add_command(now, *act) {
                    Ok(number) => number,
                    Err(error) => return tell(Err(error.to_string())),
                };
                self.waiting.insert(number, tell);
                self.propose(now);
            }
            Request::AddMember(member, tell) => {
                let why = self.group.with_state(|charter| charter.check_join(&member).err());
                let context = member.encode_to_vec();
                // It catches up before it counts: a majority must not wait for one that has nothing yet.
                self.change(now, ConfChangeType::AddLearnerNode, member.number, context, why, tell);
            }
            Request::RemoveMember(member, tell) => {
                let last = self.group.is_single_voter() && member == self.group.own.number;
                let why = self.group.with_state(|charter| match charter.members.contains_key(&member) {
                    false => Some(CommandRejected::UnknownMember(member)),
                    true if last => Some(CommandRejected::LastMember),
                    true => None,
                });
                self.change(now, ConfChangeType::RemoveNode, member, Vec::new(), why, tell);
            }
            Request::Step(message) => {
                let commit = message.get_msg_type() == MessageType::MsgHeartbeat;
                if commit && message.commit > self.raw.raft.raft_log.last_index() {
                    // The library ends with a panic where a member has lost what it acknowledged.
                    self.group.abort_process(
                        "the store has lost what it acknowledged: remove this member, and add a new one",
                    );
                }
                // An error says that the message is of no use, as one of a member that is not there any more.
                let _ = self.raw.step(*message);
            }
            Request::Lease(member, number) => self.grantor.on_request(now, member, number),
            Request::HandOver(wish) => {
                if self.group.acting_term(&wish.duty) == Some(wish.term) {
                    self.group.hand_over(&wish.duty, wish.term, wish.to, Box::new(|_| {}));
                }
            }
            Request::Unreachable(member) => {
                self.raw.report_unreachable(member);
                self.raw.report_snapshot(member, raft::SnapshotStatus::Failure);
            }
            Request::SnapshotSent(member, arrived) => {
                let status =
                    if arrived { raft::SnapshotStatus::Finish } else { raft::SnapshotStatus::Failure };
                self.raw.report_snapshot(member, status);
            }
        }
    }

    fn change(
        &mut self,
        now: Timestamp,
        kind: ConfChangeType,
        member: u64,
        context: Vec<u8>,
        why: Option<CommandRejected>,
        tell: Responder,
    ) {
        if let Some(why) = why {
            return tell(Ok(Outcome::Rejected(why)));
        }
        let mut change = ConfChange { node_id: member, context: context.into(), ..ConfChange::default() };
        change.set_change_type(kind);
        let number = match self.proposals.add_membership_change(now) {
            Ok(number) => number,
            Err(error) => return tell(Err(error.to_string())),
        };
        match self.raw.propose_conf_change(self.mark(number), change) {
            Ok(()) => drop(self.waiting.insert(number, tell)),
            Err(_) => {
                self.proposals.complete(number);
                tell(Err("members are changed at the leader, one at a time".into()));
            }
        }
    }

    /// What tells this process's proposals from all others.
    fn mark(&self, number: u64) -> Vec<u8> {
        [self.group.own.number, self.group.own.nonce, number].map(u64::to_be_bytes).concat()
    }

    /// Proposes what is due, and gives up what has waited for too long.
    fn propose(&mut self, now: Timestamp) {
        let due = self.proposals.due(now);
        for Proposal { number, command: act } in due.propose {
            // Without a leader it is dropped, and proposed anew.
            let _ = self.raw.propose(self.mark(number), act.encode_to_vec());
        }
        for number in due.timed_out {
            if let Some(tell) = self.waiting.remove(&number) {
                tell(Err("no majority of the control services answers".into()));
            }
        }
    }

    /// Looks at clocks: leases, and what waits to be agreed on. With `all` also at each duty, who is to own it and who did not
    /// hand it over: at ticks and behind changes, as every message of an idle group would go through a thousand duties.
    fn on_clock(&mut self, all: bool) {
        let now = clock::now();
        self.propose(now);
        let leads = self.raw.raft.state == StateRole::Leader && self.raw.raft.commit_to_current_term();
        self.grantor.set_leading(now, leads);
        let leader = self.raw.raft.leader_id;
        let own = self.group.own.number;
        let stuck;
        let (asked, duties, members) = {
            let mut view = lock(&self.group.view);
            if view.leader != leader {
                tracing::info!(member = own, leader, term = self.raw.raft.term, "leader");
                view.leader = leader;
            }
            let asked = if leader > 0 { view.session.next_request(now) } else { None };
            let ReplicaState { session, charter, .. } = &mut *view;
            let owned = charter.roles.values().filter(|it| it.owner == own);
            let owned = owned.map(|it| (it.name.as_str(), it.term));
            stuck = if all { session.stalled_handovers(now, owned) } else { Vec::new() };
            let charter = &view.charter;
            let duties = charter
                .roles
                .values()
                .map(|it| (it.name.clone(), RoleHolder { member: it.owner, term: it.term }));
            let duties: BTreeMap<String, RoleHolder> =
                if leads && all { duties.collect() } else { BTreeMap::new() };
            (asked, duties, view.voters.clone())
        };
        match asked {
            Some(number) if leader == own => self.grantor.on_request(now, own, number),
            Some(number) => {
                self.group.links.send(leader, Said::Renew(Renew { member: own, number }));
            }
            None => {}
        }
        for (duty, term) in stuck {
            tracing::warn!(
                duty,
                term,
                "a duty that was to be handed over is still here: goes on under a higher term"
            );
            self.group.propose(
                Act { duty, term, what: Some(What::Raise(term)), ..Act::default() },
                Box::new(|_| {}),
            );
        }
        if leads {
            self.announce();
            self.promote(now);
        }
        let actions = match all {
            true => self.grantor.tick(now, &duties, &members),
            false => Vec::from_iter(self.grantor.next_confirmation(now)),
        };
        self.carry_out(actions);
    }

    /// Has a member that has caught up vote.
    fn promote(&mut self, now: Timestamp) {
        let committed = self.raw.raft.raft_log.committed;
        let progress = self.raw.raft.prs();
        let caught_up = |member: &&u64| progress.get(**member).is_some_and(|it| it.matched >= committed);
        let next = progress.conf().learners().iter().find(caught_up).copied();
        if let Some(member) = next {
            tracing::info!(member, "a member has caught up");
            let tell = Box::new(|_| {});
            self.change(now, ConfChangeType::AddNode, member, Vec::new(), None, tell);
        }
    }

    /// Has it agreed where members are reached, once a later start of one was heard of.
    fn announce(&mut self) {
        let own = self.group.own.number;
        let later = {
            let view = lock(&self.group.view);
            view.directory.unreplicated_starts(&view.charter)
        };
        for member in later {
            let what = Some(What::Member(member));
            if !self.proposals.contains(|act| act.what == what) {
                let act = Act { by: own, what, ..Act::default() };
                self.handle(Request::Propose(Box::new(act), Box::new(|_| {})));
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<LeaseAction>) {
        let own = self.group.own.number;
        for action in actions {
            match action {
                LeaseAction::ConfirmLeadership(number) => self.raw.read_index(number.to_be_bytes().to_vec()),
                LeaseAction::Grant { member, number } => {
                    let applied = self.raw.raft.raft_log.committed;
                    match member == own {
                        true => lock(&self.group.view).session.on_granted(number, applied),
                        false => {
                            let renewed = Renewed { member, number, applied };
                            self.group.links.send(member, Said::Renewed(renewed));
                        }
                    }
                }
                LeaseAction::Assign { role, term, to } => {
                    tracing::info!(duty = role, term, to, "assigns a duty");
                    let act = Act { duty: role, term, by: own, what: Some(What::Assign(to)) };
                    self.handle(Request::Propose(Box::new(act), Box::new(|_| {})));
                }
                LeaseAction::RequestHandOver { role, term, from, to } => {
                    tracing::info!(duty = role, term, from, to, "asks for a duty to be handed over");
                    let wish = Yield { duty: role, term, to };
                    match from == own {
                        true => self.handle(Request::HandOver(wish)),
                        false => {
                            self.group.links.send(from, Said::Yield(wish));
                        }
                    }
                }
            }
        }
    }

    /// Stores, tells and applies all that the library has ready.
    fn process_ready(&mut self) -> Result<(), String> {
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            self.send(ready.take_messages());
            let mut batch = WriteBatch { sync: ready.must_sync(), ..WriteBatch::default() };
            if !ready.snapshot().is_empty() {
                self.install(ready.snapshot(), &mut batch)?;
            }
            if let Some(first) = ready.entries().first() {
                batch.truncate_log_from = Some(first.index);
                let stored = |it: &raft::eraftpb::Entry| (it.index, codec::entry(it).encode_to_vec());
                batch.log_entries = ready.entries().iter().map(stored).collect();
            }
            if let Some(hard) = ready.hs() {
                batch.values.push(("hard", codec::hard(hard).encode_to_vec()));
                self.log.set_hard(hard.clone());
            }
            let committed = ready.take_committed_entries();
            self.apply(committed, &mut batch)?;
            // Stored before it is told.
            self.store.write(&batch).map_err(|error| error.to_string())?;
            if !ready.entries().is_empty() {
                crate::failpoints::suspend_at("stored");
            }
            self.log.append(ready.entries());
            self.send(ready.take_persisted_messages());
            let reads = ready.take_read_states();
            let mut light = self.raw.advance(ready);
            let mut batch = WriteBatch::default();
            if let Some(commit) = light.commit_index() {
                let hard = self.log.set_commit(commit);
                batch.values.push(("hard", codec::hard(&hard).encode_to_vec()));
            }
            self.send(light.take_messages());
            let committed = light.take_committed_entries();
            if !committed.is_empty() {
                self.apply(committed, &mut batch)?;
                self.store.write(&batch).map_err(|error| error.to_string())?;
            }
            self.raw.advance_apply();
            if let Some(base) = self.log.compact(LOG_KEPT, LOG_MUCH) {
                // Synced with it: what is applied must be on disk before the entries that it came from are let go.
                let values = vec![("base", encode_pair(base))];
                self.store
                    .write(&WriteBatch {
                        compact_log_below: Some(base.0 + 1),
                        values,
                        sync: true,
                        ..WriteBatch::default()
                    })
                    .map_err(|error| error.to_string())?;
            }
            for read in reads {
                if let Ok(number) = <[u8; 8]>::try_from(read.request_ctx.as_slice()) {
                    let granted = self.grantor.on_confirmed(u64::from_be_bytes(number));
                    self.carry_out(granted);
                }
            }
        }
        Ok(())
    }

    fn send(&self, messages: Vec<Message>) {
        for message in messages {
            let (to, snapshot) = (message.to, message.get_msg_type() == MessageType::MsgSnapshot);
            let said = self.group.links.send(to, Said::Raft(codec::message(&message)));
            if snapshot {
                // What gets lost behind this is sent anew, as the member says what it lacks.
                self.group.submit(Request::SnapshotSent(to, said));
            }
        }
    }

    /// Takes all that is agreed from a member that is further.
    fn install(&mut self, snapshot: &Snapshot, batch: &mut WriteBatch) -> Result<(), String> {
        let told = schema::Charter::decode(snapshot.data.as_ref());
        let charter =
            GroupState::from_schema(told.map_err(|error| corrupt("what another member sent", error))?);
        let meta = snapshot.get_metadata();
        let (base, members) = ((meta.index, meta.term), meta.get_conf_state().clone());
        let mut view = lock(&self.group.view);
        batch.removed_versions = view.charter.versions.keys().copied().collect();
        for (number, held) in &charter.versions {
            batch.documents.push((*number, held.document.encode_to_vec()));
            batch.entries.push((*number, held.entry.encode_to_vec()));
        }
        batch.values.extend([
            ("charter", charter.to_stored().encode_to_vec()),
            ("members", codec::members(&members).encode_to_vec()),
            ("base", encode_pair(base)),
            ("applied", base.0.to_be_bytes().to_vec()),
        ]);
        (batch.compact_log_below, batch.sync) = (Some(base.0 + 1), true);
        let dropped = view.charter.versions.keys().filter(|it| !charter.versions.contains_key(it));
        self.changes.extend(dropped.map(|number| StateChange::VersionDropped(*number)));
        self.changes.extend(charter.versions.keys().map(|number| StateChange::VersionPublished(*number)));
        self.changes.extend(charter.roles.keys().map(|duty| StateChange::HolderChanged(duty.clone())));
        self.changes.push(StateChange::MembersChanged);
        tracing::info!(
            index = base.0,
            versions = charter.versions.len(),
            "took all that is agreed from another member"
        );
        (view.charter, view.applied) = (charter, base.0);
        view.voters = members.voters.iter().copied().collect();
        self.log.restart(base, members);
        Ok(())
    }

    /// Applies entries that are agreed on, and notes what is to be stored of it.
    fn apply(&mut self, entries: Vec<raft::eraftpb::Entry>, batch: &mut WriteBatch) -> Result<(), String> {
        let Some(last) = entries.last().map(|entry| entry.index) else { return Ok(()) };
        let mut changes = Vec::new();
        for entry in entries {
            let (outcome, changed) = match entry.get_entry_type() {
                EntryType::EntryConfChange => self.change_members(&entry, batch)?,
                _ if entry.data.is_empty() => continue,
                _ => match Act::decode(entry.data.as_ref()) {
                    Err(error) => (Outcome::Rejected(error.into()), Vec::new()),
                    Ok(act) => self.act(&act),
                },
            };
            if let Outcome::Rejected(why) = &outcome {
                tracing::debug!(index = entry.index, "refused: {why}");
            }
            changes.extend(changed);
            let mark = entry.context.as_ref();
            if mark.len() == 24 && mark[..16] == self.mark(0)[..16] {
                let number = mark[16..].try_into().map_or(0, u64::from_be_bytes);
                self.ended.push((number, outcome));
            }
        }
        let mut view = lock(&self.group.view);
        view.applied = last;
        self.log.set_applied(last);
        batch.values.push(("applied", last.to_be_bytes().to_vec()));
        if !changes.is_empty() {
            batch.values.push(("charter", view.charter.to_stored().encode_to_vec()));
        }
        for change in &changes {
            match change {
                StateChange::VersionPublished(number) | StateChange::VersionUpdated(number) => {
                    let Some(held) = view.charter.versions.get(number) else { continue };
                    if matches!(change, StateChange::VersionPublished(_)) {
                        batch.documents.push((*number, held.document.encode_to_vec()));
                    }
                    batch.entries.push((*number, held.entry.encode_to_vec()));
                }
                StateChange::VersionDropped(number) => batch.removed_versions.push(*number),
                StateChange::HolderChanged(_) | StateChange::RoleChanged(_) | StateChange::MembersChanged => {
                }
            }
        }
        self.changes.extend(changes);
        Ok(())
    }

    fn act(&mut self, act: &Act) -> (Outcome, Vec<StateChange>) {
        let mut view = lock(&self.group.view);
        let (outcome, changes) = view.charter.apply(act);
        if let Outcome::StaleTerm { term, current } = outcome {
            // An assignment that was proposed twice is nobody's old act.
            if !matches!(act.what, Some(What::Assign(_))) {
                *view.stale.entry(act.duty.clone()).or_default() += 1;
                tracing::warn!(duty = act.duty, term, current, by = act.by, "stale act refused");
            }
        }
        for change in &changes {
            if let StateChange::HolderChanged(duty) = change {
                let RoleHolder { member: owner, term } = view.charter.holder(duty);
                view.since.insert(duty.clone(), clock::now());
                tracing::info!(duty, term, owner, "owner");
            }
        }
        (outcome, changes)
    }

    fn change_members(
        &mut self,
        entry: &raft::eraftpb::Entry,
        batch: &mut WriteBatch,
    ) -> Result<(Outcome, Vec<StateChange>), String> {
        let told =
            RaftChange::decode(entry.data.as_ref()).map_err(|error| corrupt("a change of members", error))?;
        let mut change = ConfChange { node_id: told.member, ..ConfChange::default() };
        let kinds = [ConfChangeType::AddNode, ConfChangeType::RemoveNode, ConfChangeType::AddLearnerNode];
        let kind = kinds.into_iter().find(|kind| *kind as i32 == told.kind);
        let kind = kind.ok_or_else(|| corrupt("a change of members", "it is of an unknown kind"))?;
        change.set_change_type(kind);
        let members = self.raw.apply_conf_change(&change).map_err(|error| error.to_string())?;
        batch.values.push(("members", codec::members(&members).encode_to_vec()));
        tracing::info!(voters = ?members.voters, "members");
        let mut view = lock(&self.group.view);
        view.voters = members.voters.iter().copied().collect();
        self.log.set_members(members);
        let changes = match kind {
            ConfChangeType::AddNode => Vec::new(),
            ConfChangeType::AddLearnerNode => {
                let member = Member::decode(told.context.as_slice()).unwrap_or_default();
                view.charter.add_member(member)
            }
            ConfChangeType::RemoveNode => {
                view.directory.forget(told.member);
                view.charter.remove_member(told.member)
            }
        };
        Ok((Outcome::Applied, changes))
    }
}
