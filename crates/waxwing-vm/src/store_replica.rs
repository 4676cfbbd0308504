//! What machines tell each other of the store.
//!
//! One machine of each region reads the store; the others ask it a few times a second for what has
//! changed, and read the store themselves where its word gets old. A word carries the age of what
//! it says, so it makes the one who hears it as sure of its keys as a reading of its own would.

use std::net;
use std::sync::atomic;
use std::time;

use parking_lot::Mutex;
use serde::Serialize;
use serde::de;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;
use waxwing_machine::membership;
use waxwing_machine::server_list;
use waxwing_machine::server_registration;
use waxwing_machine::store_reader;
use waxwing_process::clock;
use waxwing_process::timer;
use waxwing_protocol::frame;
use waxwing_protocol::replication;
use waxwing_units::id;
use waxwing_units::time as units_time;

use crate::reconcile;
use crate::store_poll;
use crate::vm;

/// How often a reader is asked, as a part of the time in which a change has to be known.
const ASK_PART: u32 = 10;

/// How long an answer may take.
const ANSWER_MAX: time::Duration = time::Duration::from_millis(600);

/// How long nothing may be asked on a connection before it is closed.
const IDLE_MAX: time::Duration = time::Duration::from_secs(10);

/// The result of a part of an exchange.
type Result<T> = std::result::Result<T, frame::Error>;

/// What this machine knows of the store, in a form that others can copy.
#[derive(Debug, Default)]
pub struct Copies {
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    servers: server_list::ServerList,
    servers_at: Option<units_time::MonoInstant>,
    failed_at: Option<units_time::MonoInstant>,
    members: membership::MemberList,
    members_number: u64,
    members_at: Option<units_time::MonoInstant>,
}

impl Copies {
    /// Returns when the store was asked for the backend servers that are known.
    pub fn servers_at(&self) -> Option<units_time::MonoInstant> {
        self.known.lock().servers_at
    }

    /// Returns when the store was asked for the members that are known.
    pub fn members_at(&self) -> Option<units_time::MonoInstant> {
        self.known.lock().members_at
    }

    /// Takes in the backend servers that the store listed when it was asked at `asked_at`; returns
    /// whether that is newer than what is known.
    pub fn note_servers(
        &self,
        asked_at: units_time::MonoInstant,
        listed: Vec<server_registration::ServerRegistration>,
    ) -> bool {
        let mut known = self.known.lock();
        let is_newer = known.servers_at < Some(asked_at);
        if is_newer {
            known.servers.apply_list(listed);
            known.servers_at = Some(asked_at);
        }
        is_newer
    }

    /// Notes that the store did not list the backend servers when it was asked at `asked_at`.
    pub fn note_failed(&self, asked_at: units_time::MonoInstant) {
        let mut known = self.known.lock();
        known.failed_at = known.failed_at.max(Some(asked_at));
    }

    /// Takes in the members that the store listed when it was asked at `asked_at`.
    pub fn note_members(
        &self,
        asked_at: units_time::MonoInstant,
        reading: &membership::MemberList,
    ) {
        let mut known = self.known.lock();
        known.members_at = known.members_at.max(Some(asked_at));
        if reading.revision < known.members.revision {
            return;
        }
        if reading.members != known.members.members {
            known.members_number += 1;
        }
        known.members = reading.clone();
    }
}

/// Returns how long ago something was, and at least that.
fn age_ms(now: units_time::MonoInstant, then: units_time::MonoInstant) -> units_time::Millis {
    let age = units_time::extend_by_clock_drift(now.since(then)).as_millis();
    units_time::Millis(u64::try_from(age).unwrap_or(u64::MAX).saturating_add(1))
}

/// Returns what this machine knows, for one who was told before what `ask` says.
fn word(vm: &vm::Vm, ask: replication::Request) -> replication::Response {
    let now = clock::now();
    let ask = if ask.reader_incarnation == vm.about.started {
        ask
    } else {
        replication::Request::default()
    };
    let in_force = vm.in_force();
    let configuration = in_force.table.zip(in_force.confirmed_at).map(|(table, at)| {
        let age_ms = age_ms(now, at);
        replication::Configuration {
            version: table.version().0,
            evacuated: in_force.evacuated,
            age_ms,
        }
    });
    let known = vm.copies.known.lock();
    let servers = known.servers_at.map(|at| replication::Servers {
        changes: known.servers.changes_since(ask.servers_version),
        age_ms: age_ms(now, at),
        failed_ago_ms: known.failed_at.map(|at| age_ms(now, at)),
    });
    let members = known.members_at.map(|at| replication::Members {
        version: known.members_number,
        revision: known.members.revision,
        members: (ask.members_version != known.members_number)
            .then(|| known.members.members.clone()),
        age_ms: age_ms(now, at),
    });
    replication::Response { reader_incarnation: vm.about.started, configuration, servers, members }
}

/// Answers the questions of other machines; never returns.
pub async fn answer_all(vm: vm::Shared, listener: tokio_net::TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                ntex::rt::spawn(answer(vm.clone(), stream));
            }
            Err(error) => {
                log::info!("a machine that asks could not be accepted: {error}");
                timer::sleep(ANSWER_MAX).await;
            }
        }
    }
}

async fn answer(vm: vm::Shared, mut stream: tokio_net::TcpStream) {
    loop {
        let asked = timer::timeout(IDLE_MAX, read::<replication::Request>(&mut stream)).await;
        let Ok(Ok(ask)) = asked else {
            log::debug!("a machine asks no more: {asked:?}");
            return;
        };
        let word = word(&vm, ask);
        let told = timer::timeout(ANSWER_MAX, write(&mut stream, &word)).await;
        if !matches!(told, Ok(Ok(()))) {
            log::debug!("a machine that asked was not told: {told:?}");
            return;
        }
    }
}

async fn read<T: de::DeserializeOwned>(stream: &mut tokio_net::TcpStream) -> Result<T> {
    let mut head = [0; frame::HEADER_LEN_BYTES];
    stream.read_exact(&mut head).await?;
    let mut content = vec![0; frame::content_len_bytes(head)?];
    stream.read_exact(&mut content).await?;
    frame::decode(&content)
}

async fn write<T: Serialize>(stream: &mut tokio_net::TcpStream, message: &T) -> Result<()> {
    stream.write_all(&frame::encode(message)?).await?;
    Ok(())
}

/// The machine that tells this one, and what it has told.
struct Source {
    vm: id::VmId,
    stream: tokio_net::TcpStream,
    told_by: id::Incarnation,
    servers: server_list::Replica,
    members_number: u64,
    members: Vec<membership::Member>,
}

/// Asks the machine that reads the store; never returns.
pub async fn follow(vm: vm::Shared, servers: reconcile::Servers) {
    let settings = vm.settings();
    let known_max = settings.settings.apply_max.min(settings.settings.drain_max).duration();
    let mut source = None;
    loop {
        timer::sleep(known_max / ASK_PART).await;
        let Some(about) = reader_of(&vm).filter(|about| about.vm != vm.about.vm) else {
            source = None;
            continue;
        };
        source = match timer::timeout(ANSWER_MAX, ask(&vm, &servers, source, &about)).await {
            Ok(Ok(source)) => Some(source),
            Ok(Err(error)) => {
                log::info!("machine {} does not tell what it knows: {error}", about.vm);
                None
            }
            Err(timer::Elapsed) => {
                log::info!("machine {} does not tell what it knows in time", about.vm);
                None
            }
        };
    }
}

/// Returns the machine of this region that reads the store, which may be this one: one that the
/// store answers, if there is any.
pub fn reader_of(vm: &vm::Vm) -> Option<membership::MachineInfo> {
    let settings = vm.settings();
    let here = settings.region_of(&vm.about.failure_domain);
    let membership = vm.membership.lock();
    let mut near: Vec<(&membership::MachineInfo, bool)> = membership
        .live_peers(clock::now())
        .filter(|(about, _)| settings.region_of(&about.failure_domain) == here)
        .collect();
    if vm.stage() == vm::Stage::Serving {
        near.push((&vm.about, vm.reaches_store.load(atomic::Ordering::Acquire)));
    }
    if near.iter().any(|(_, is_answered)| *is_answered) {
        near.retain(|(_, is_answered)| *is_answered);
    }
    let reader = store_reader::elect(near.iter().map(|(about, _)| &about.vm))?;
    near.iter().find(|(about, _)| about.vm == *reader).map(|(about, _)| (*about).clone())
}

/// Asks a machine and takes in what it tells.
async fn ask(
    vm: &vm::Shared,
    servers: &reconcile::Servers,
    source: Option<Source>,
    about: &membership::MachineInfo,
) -> Result<Source> {
    let mut source = match source {
        Some(source) if source.vm == about.vm => source,
        _ => Source::connect(about).await?,
    };
    let asked_at = clock::now();
    let question = replication::Request {
        reader_incarnation: source.told_by,
        servers_version: source.servers.version(),
        members_version: source.members_number,
    };
    write(&mut source.stream, &question).await?;
    let word = read::<replication::Response>(&mut source.stream).await?;
    source.take_in(vm, servers, asked_at, word);
    Ok(source)
}

impl Source {
    async fn connect(about: &membership::MachineInfo) -> Result<Self> {
        let stream = tokio_net::TcpStream::connect(about.peer_address).await?;
        Ok(Self {
            vm: about.vm.clone(),
            stream,
            told_by: id::Incarnation::default(),
            servers: server_list::Replica::default(),
            members_number: 0,
            members: Vec::new(),
        })
    }

    fn take_in(
        &mut self,
        vm: &vm::Vm,
        servers: &reconcile::Servers,
        asked_at: units_time::MonoInstant,
        word: replication::Response,
    ) {
        self.told_by = word.reader_incarnation;
        let then = |age_ms: units_time::Millis| asked_at.before(age_ms.duration());
        if let Some(told) = word.configuration {
            store_poll::hear_configuration(vm, then(told.age_ms), told);
        }
        if let Some(told) = word.servers {
            self.servers.apply(told.changes);
            let listed = self.servers.servers().to_vec();
            let failed_at = told.failed_ago_ms.map(then);
            store_poll::hear_servers(vm, servers, then(told.age_ms), failed_at, listed);
        }
        if let Some(told) = word.members {
            self.members_number = told.version;
            if let Some(members) = told.members {
                self.members = members;
            }
            let reading =
                membership::MemberList { revision: told.revision, members: self.members.clone() };
            store_poll::hear_members(vm, then(told.age_ms), reading);
        }
    }
}

/// Binds the endpoint for other machines' questions.
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub async fn listen(address: net::SocketAddr) -> std::io::Result<tokio_net::TcpListener> {
    tokio_net::TcpListener::bind(address).await
}
