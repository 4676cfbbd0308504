//! The platform's metadata store: keys, transactions, leases, and a restoration from a copy.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Value};

/// The most items of one page.
const PAGE_MAX: usize = 500;

#[derive(Clone)]
struct Item {
    /// As base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

/// What the store holds.
#[derive(Clone, Default)]
pub struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
}

struct State {
    contents: Contents,
    era: u64,
    is_away: bool,
}

/// The store, listening on a loopback address.
#[derive(Clone)]
pub struct Store {
    pub address: net::SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let contents = Contents { revision: 1, ..Contents::default() };
        let state = Arc::new(Mutex::new(State { contents, era: 1, is_away: false }));
        let store = Self { address, state };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(&stream));
            }
        });
        store
    }

    /// Writes a key as the operator or an upstream does; returns false while the store is away.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.contents.put(key, json::base64(value.as_bytes()), 0);
        true
    }

    /// Returns a copy of what the store holds now.
    pub fn copy(&self) -> Contents {
        self.state.lock().unwrap().contents.clone()
    }

    /// Makes the store silent: it takes connections and answers none.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
    }

    /// Brings the store back from a copy, in the next era.
    pub fn restore(&self, copy: Contents) {
        let mut state = self.state.lock().unwrap();
        state.contents = copy;
        state.era += 1;
        state.is_away = false;
    }

    fn serve(&self, stream: &net::TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        while let Some(head) = http::read_head(&mut reader) {
            let Some(body) = http::read_body(&mut reader, &head) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, text, era) = {
                let mut state = self.state.lock().unwrap();
                if state.is_away {
                    drop(state);
                    thread::sleep(Duration::from_secs(20));
                    return;
                }
                let (status, text) = state.contents.call(head.word(0), head.word(1), &body);
                (status, text, state.era)
            };
            let message = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\nstore-era: {era}\r\n\
                 content-length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(message.as_bytes()).is_err() || head.closes() {
                return;
            }
        }
    }
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() && self.items.values().any(|i| i.lease == lease) {
            self.revision += 1;
            self.items.retain(|_, item| item.lease != lease);
        }
    }

    fn end_lapsed_leases(&mut self) {
        let now = Instant::now();
        let lapsed: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.ends_at <= now).map(|(id, _)| *id).collect();
        lapsed.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn item_text(&self, key: &str) -> String {
        match self.items.get(key) {
            Some(item) => format!(
                r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
                item.value, item.revision, item.created, item.lease
            ),
            None => format!(r#"{{"key":"{key}","revision":0}}"#),
        }
    }

    fn call(&mut self, method: &str, path: &str, body: &str) -> (u16, String) {
        self.end_lapsed_leases();
        let body = json::parse(body).unwrap_or(Value::Null);
        let id = || path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/kv-key") => self.key(query(path, "key").unwrap_or("")),
            ("GET", "/kv-range") => self.range(path),
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", "/kv-lease") => {
                self.revision += 1;
                let ttl_s = body.get("ttlS_time").number().unwrap_or(1.0).clamp(1.0, 600.0);
                let ttl = Duration::from_secs_f64(ttl_s);
                self.leases.insert(self.revision, Lease { ttl, ends_at: Instant::now() + ttl });
                (200, format!(r#"{{"lease":{},"ttlS_time":{ttl_s}}}"#, self.revision))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => match self.leases.get_mut(&id()) {
                Some(lease) => {
                    lease.ends_at = Instant::now() + lease.ttl;
                    (200, format!(r#"{{"ttlS_time":{}}}"#, lease.ttl.as_secs_f64()))
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                self.end_lease(id());
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.items.contains_key(key) {
            true => {
                let item = self.item_text(key);
                let item = item.trim_end_matches('}');
                (200, format!(r#"{item},"currentRev":{}}}"#, self.revision))
            }
            false => (404, "{}".to_owned()),
        }
    }

    fn range(&self, path: &str) -> (u16, String) {
        let prefix = query(path, "pathPrefix").unwrap_or("");
        let after = query(path, "after").unwrap_or("");
        let keys: Vec<&String> = self
            .items
            .keys()
            .filter(|key| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let items: Vec<String> =
            keys.iter().take(PAGE_MAX).map(|key| self.item_text(key)).collect();
        let text = format!(
            r#"{{"items":[{}],"hasMore":{},"currentRev":{}}}"#,
            items.join(","),
            keys.len() > PAGE_MAX,
            self.revision
        );
        (200, text)
    }

    fn transact(&mut self, body: &Value) -> (u16, String) {
        let expected = body.get("expectedRev").list();
        let holds = |row: &Value| {
            let found = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            row.get("revision").number() == Some(found as f64)
        };
        if !expected.iter().all(holds) {
            let items: Vec<String> =
                expected.iter().map(|row| self.item_text(row.get("key").text())).collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let lease_of = |put: &Value| put.get("lease").number().unwrap_or(0.0) as u64;
        let puts = body.get("puts").list();
        if puts.iter().any(|put| lease_of(put) > 0 && !self.leases.contains_key(&lease_of(put))) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            self.put(put.get("key").text(), put.get("value").text().to_owned(), lease_of(put));
        }
        for key in body.get("remove").list() {
            if self.items.remove(key.text()).is_some() {
                self.revision += 1;
            }
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}
