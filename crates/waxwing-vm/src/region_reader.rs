//! Polls the reader of this region for what it knows of the store.

use waxwing_machine::membership;
use waxwing_machine::server_list;
use waxwing_machine::store_reader;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::replication;
use waxwing_units::bandwidth;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::configuration_poll;
use crate::reconcile;
use crate::replica_query;
use crate::store_poll;
use crate::store_replica;
use crate::vm;

/// How often the reader is asked within the time in which a change has to be known.
const POLLS_PER_BOUND: u32 = 10;

/// What the reader has sent so far. It outlasts the connections to that reader.
#[derive(Debug, Default)]
struct ReaderState {
    vm: Option<id::VmId>,
    incarnation: id::Incarnation,
    servers: server_list::Replica,
    members_version: u64,
    members: Vec<membership::Member>,
}

/// Polls the reader of this region; never returns.
pub async fn poll_reader(vm: vm::Shared, servers: reconcile::SharedServerSet) {
    let settings = vm.settings();
    let bound = settings.settings.apply_max.min(settings.settings.drain_max).duration();
    let mut state = ReaderState::default();
    let mut connection = None;
    loop {
        timer::sleep(bound / POLLS_PER_BOUND).await;
        let Some(machine) = elect_reader(&vm).filter(|machine| machine.vm != vm.info.vm) else {
            connection = None;
            continue;
        };
        if state.vm.as_ref() != Some(&machine.vm) {
            state = ReaderState { vm: Some(machine.vm.clone()), ..ReaderState::default() };
            connection = None;
        }
        let is_reader = || elect_reader(&vm).is_some_and(|elected| elected.vm == machine.vm);
        let query = state.query(&vm);
        let sent =
            replica_query::send(machine.peer_address, connection.take(), query, is_reader).await;
        match sent {
            Ok(answer) => {
                connection = Some(answer.connection);
                state.apply(&vm, &servers, answer.requested_at, answer.response);
            }
            Err(error) => log::info!("replication from machine {} failed: {error}", machine.vm),
        }
    }
}

/// Returns the reader of this region, which may be this VM.
pub fn elect_reader(vm: &vm::Vm) -> Option<membership::MachineInfo> {
    let settings = vm.settings();
    let local_region = settings.region_of(&vm.info.failure_domain);
    let own_link = settings.settings.link_bandwidth;
    let own_reach = vm.reaches_store();
    let membership = vm.membership.lock();
    let mut machines: Vec<(&membership::MachineInfo, bool, Option<bandwidth::Bandwidth>)> =
        membership
            .live_peers(clock::now())
            .filter(|(machine, _)| settings.region_of(&machine.failure_domain) == local_region)
            .map(|(machine, reaches)| (machine, reaches, membership.link_bandwidth(&machine.vm)))
            .collect();
    if vm.stage() == vm::Stage::Serving {
        machines.push((&vm.info, own_reach, own_link));
    }
    let candidates =
        machines.iter().map(|(machine, reaches_store, link_bandwidth)| store_reader::Candidate {
            vm: &machine.vm,
            reaches_store: *reaches_store,
            link_bandwidth: *link_bandwidth,
        });
    let reader = store_reader::elect(candidates)?;
    let elected = machines.iter().find(|(machine, ..)| machine.vm == *reader);
    elected.map(|(machine, ..)| (*machine).clone())
}

impl ReaderState {
    /// Returns the query for what has changed.
    fn query(&self, vm: &vm::Vm) -> replication::Request {
        let active = vm.active_configuration();
        replication::Request {
            reader_incarnation: self.incarnation,
            servers_version: self.servers.version(),
            members_version: self.members_version,
            configuration: active.table.map(|table| store_replica::identify(&table)),
            mark: active.mark.fingerprint(),
        }
    }

    fn apply(
        &mut self,
        vm: &vm::Vm,
        servers: &reconcile::SharedServerSet,
        requested_at: units_time::MonoInstant,
        update: replication::Response,
    ) {
        self.incarnation = update.reader_incarnation;
        let instant_of = |age_ms: units_time::Millis| requested_at.before(age_ms.duration());
        if let Some(configuration) = update.configuration {
            configuration_poll::apply_peer_configuration(
                vm,
                instant_of(configuration.age_ms),
                configuration,
            );
        }
        if let Some(member_update) = &update.members {
            vm.enter_store_era(member_update.revision.era());
        }
        if let Some(server_update) = update.servers {
            self.servers.apply(server_update.changes);
            let listed = self.servers.servers().to_vec();
            let last_failure_at = server_update.failed_ago_ms.map(instant_of);
            store_poll::apply_servers(
                vm,
                servers,
                instant_of(server_update.age_ms),
                last_failure_at,
                listed,
            );
        }
        if let Some(member_update) = update.members {
            self.members_version = member_update.version;
            if let Some(members) = member_update.members {
                self.members = members;
            }
            let member_list = membership::MemberList {
                revision: member_update.revision,
                members: self.members.clone(),
            };
            store_poll::apply_members(vm, instant_of(member_update.age_ms), member_list);
        }
    }
}
