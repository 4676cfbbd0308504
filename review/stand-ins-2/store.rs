//! A stand-in of the platform's store, as the users' protocol page describes it.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default, Clone)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    last_lease: u64,
    /// The leases with their durations and ends.
    leases: HashMap<u64, (Duration, Instant)>,
    /// How often the store came back from a copy, and one more.
    era: u64,
    /// Whether the store answers no call.
    is_away: bool,
    /// The lease renewals that were answered.
    renewals: Vec<(u64, Instant)>,
}

/// A copy of the store, from which it can come back.
pub struct StoreCopy(State);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let state = Arc::new(Mutex::new(State { revision: 100, era: 1, ..State::default() }));
        let store = Self { address: listener.local_addr()?, state };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a key for the operator or an upstream.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(key, json::base64(value.as_bytes()), 0);
    }

    /// Removes a key for the operator.
    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
    }

    /// Takes a copy of all keys and leases.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().unwrap().clone())
    }

    /// Answers no call from now on.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
    }

    /// Comes back from a copy: keys, revisions and leases are those of the copy.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, ..copy.0.clone() };
    }

    /// Returns whether `count` different leases were renewed within the last `span`.
    pub fn were_renewed(&self, count: usize, span: Duration) -> bool {
        let state = self.state.lock().unwrap();
        let recent = state.renewals.iter().filter(|(_, at)| at.elapsed() < span);
        let mut leases: Vec<u64> = recent.map(|(lease, _)| *lease).collect();
        leases.sort_unstable();
        leases.dedup();
        leases.len() >= count
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut writer = stream;
        while let Ok(Some(request)) = http::read(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let Some((status, body, era)) = self.answer(&request) else {
                return;
            };
            let headers =
                [("Content-Type", "application/json".to_owned()), ("Store-Era", era.to_string())];
            let bytes = http::response(status, "Answer", &headers, body.as_bytes());
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Returns status, body and era of an answer; `None` while the store is away.
    fn answer(&self, request: &http::Message) -> Option<(u16, String, u64)> {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decoded(value)))
            .collect();
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return None;
        }
        state.end_leases();
        let (status, body) = match (request.method(), path) {
            ("GET", "/kv-key") => match state.items.get(&parameter("key")) {
                Some(item) => (200, item.json(&parameter("key"), Some(state.revision))),
                None => (404, format!("{{\"currentRev\":{}}}", state.revision)),
            },
            ("GET", "/kv-range") => {
                (200, state.range(&parameter("pathPrefix"), &parameter("after")))
            }
            ("POST", "/kv-txn") => state.transact(&body),
            ("POST", "/kv-lease") => {
                let ttl = Duration::from_secs_f64(body.get("ttlS_time").number().max(1.0));
                state.last_lease += 1;
                let lease = 77_000 + state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttlS_time\":{}}}", ttl.as_secs_f64()))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        let ttl_s = ttl.as_secs_f64();
                        state.renewals.push((lease, Instant::now()));
                        (200, format!("{{\"ttlS_time\":{ttl_s}}}"))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease: u64 = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.end_lease(lease);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        Some((status, body, state.era))
    }
}

impl Item {
    fn json(&self, key: &str, current: Option<u64>) -> String {
        let current = current.map_or_else(String::new, |rev| format!(",\"currentRev\":{rev}"));
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}{current}}}",
            json::quoted(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let ended: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        ended.iter().for_each(|key| self.remove(key));
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let is_wanted = |key: &&String| key.starts_with(prefix) && key.as_str() > after;
        let items: Vec<String> = self
            .items
            .iter()
            .filter(|(key, _)| is_wanted(key))
            .map(|(key, item)| item.json(key, None))
            .collect();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"hasMore\":false,\"currentRev\":{}}}", self.revision)
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let expected = body.get("expectedRev").list();
        let holds = |row: &Json| {
            let found = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            found == row.get("revision").number() as u64
        };
        if !expected.iter().all(holds) {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    self.items.get(key).map(|item| item.json(key, None))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let has_lease = |put: &Json| {
            let lease = put.get("lease").number() as u64;
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let lease = put.get("lease").number() as u64;
            self.put(put.get("key").text(), put.get("value").text().to_owned(), lease);
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
