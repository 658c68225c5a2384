//! Stand-in for the metadata store of the users' platform: keyed topics, one member group, outages,
//! and restores from an older copy.

use {
    crate::http1::{self, Reply, Request, unescape},
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Interval at which a waiting read checks for new records.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Limit on the records of a page of newest records.
const MAX_PAGE_RECORDS: usize = 500;

/// How the store responds to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behavior {
    /// Answers normally.
    #[default]
    Sound,
    /// Refuses every request with 503.
    Refusing,
    /// Accepts requests and never answers.
    Silent,
}

/// A record of a topic.
#[derive(Clone, Debug)]
struct Record {
    key: String,
    value: Vec<u8>,
    written_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Number of restores so far.
    era: u64,
    topics: BTreeMap<String, Vec<Record>>,
    /// Offset of the oldest retained record, by topic.
    first_offsets: BTreeMap<String, usize>,
    /// Members of the group, with the time at which each is dropped unless it joins again.
    members: BTreeMap<String, Instant>,
    generation: u64,
    /// Behavior of each listener, in the order in which they were added.
    behaviors: Vec<Behavior>,
    request_count: usize,
    /// Number of reads of newest records, by topic.
    newest_counts: BTreeMap<String, usize>,
    /// Whether each page of newest records is the first one.
    repeats_pages: bool,
}

/// The store; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Starts a store with one listener; returns both.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub async fn spawn() -> std::io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        let address = store.add_listener().await?;
        Ok((store, address))
    }

    /// Adds a listener whose behavior can be set apart from the others; returns its address.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub async fn add_listener(&self) -> std::io::Result<SocketAddr> {
        let listener = {
            let mut state = self.state();
            state.behaviors.push(Behavior::default());
            state.behaviors.len() - 1
        };
        let store = self.clone();
        http1::spawn(move |request| store.clone().answer(listener, request)).await
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.push(Record {
            key: key.to_owned(),
            value: value.to_vec(),
            written_at: Instant::now(),
        });
    }

    /// The newest value of a key.
    pub fn value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state();
        let records = state.topics.get(topic)?;
        let newest = records.iter().rev().find(|record| record.key == key)?;
        Some(newest.value.clone())
    }

    /// Comes back from a copy that is `age` old: later records are gone and their offsets free, and
    /// the group starts anew.
    pub fn restore(&self, age: Duration) {
        let mut state = self.state();
        let is_kept = |record: &Record| record.written_at.elapsed() >= age;
        for records in state.topics.values_mut() {
            records.retain(is_kept);
        }
        state.members.clear();
        state.generation = 0;
        state.era += 1;
    }

    /// Ends the retention of a topic's records; the newest value of each key stays readable.
    pub fn drop_history(&self, topic: &str) {
        let mut state = self.state();
        let end = state.topics.get(topic).map_or(0, Vec::len);
        state.first_offsets.insert(topic.to_owned(), end);
    }

    /// Sets the behavior of all listeners.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state().behaviors.fill(behavior);
    }

    /// Sets the behavior of one listener, numbered from 0 in the order in which they were added.
    pub fn set_listener_behavior(&self, listener: usize, behavior: Behavior) {
        if let Some(current) = self.state().behaviors.get_mut(listener) {
            *current = behavior;
        }
    }

    /// Keys of a topic that have a value.
    pub fn keys(&self, topic: &str) -> BTreeSet<String> {
        let state = self.state();
        let mut keys = BTreeSet::new();
        for record in state.topics.get(topic).into_iter().flatten() {
            match record.value.is_empty() {
                true => keys.remove(&record.key),
                false => keys.insert(record.key.clone()),
            };
        }
        keys
    }

    /// Sets whether each page of newest records is the first one, whatever a call asks for.
    pub fn set_repeats_pages(&self, repeats_pages: bool) {
        self.state().repeats_pages = repeats_pages;
    }

    /// Number of requests received so far.
    pub fn request_count(&self) -> usize {
        self.state().request_count
    }

    /// Number of reads of a topic's newest records that were answered, each page on its own.
    pub fn newest_count(&self, topic: &str) -> usize {
        let state = self.state();
        state.newest_counts.get(topic).copied().unwrap_or_default()
    }

    async fn answer(self, listener: usize, request: Request) -> Reply {
        let behavior = {
            let mut state = self.state();
            state.request_count += 1;
            state.behaviors.get(listener).copied().unwrap_or_default()
        };
        match behavior {
            Behavior::Sound => {}
            Behavior::Refusing => return Reply::status(503),
            Behavior::Silent => return Reply::Hang,
        }
        let reply = match request.path.as_str() {
            "/api/log-read" => self.read(&request).await,
            "/api/log-newest" => self.newest(&request),
            "/api/log-append" => self.append(&request),
            "/api/log-join" => self.join(&request),
            "/api/log-leave" => self.leave(&request),
            _ => Reply::status(404),
        };
        let era = self.state().era;
        reply.with_header("store-era", era)
    }

    async fn read(&self, request: &Request) -> Reply {
        let topic = request.query("topic");
        let from: usize = request.query("from").parse().unwrap_or_default();
        let wait: u64 = request.query("waitMs").parse().unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let state = self.state();
                let first = state.first_offsets.get(&topic).copied().unwrap_or_default();
                let records = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
                if from < first || from > records.len() {
                    return Reply::json(410, &json!({"first": first}));
                }
                if records.len() > from || Instant::now() >= deadline {
                    return Reply::bytes(encode_records(records, from, first));
                }
            }
            sleep(READ_POLL_INTERVAL).await;
        }
    }

    fn newest(&self, request: &Request) -> Reply {
        use base64::{Engine, engine::general_purpose::STANDARD};
        let mut state = self.state();
        let topic = request.query("topic");
        *state.newest_counts.entry(topic.clone()).or_default() += 1;
        let records = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            newest.insert(&record.key, (offset, &record.value));
        }
        let after = match state.repeats_pages {
            true => String::new(),
            false => unescape(&request.query("after")),
        };
        let present = newest
            .into_iter()
            .filter(|(key, (_, value))| **key > after && !value.is_empty());
        let items = present.map(|(key, (offset, value))| {
            json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
        });
        let mut items: Vec<_> = items.collect();
        let has_more = items.len() > MAX_PAGE_RECORDS;
        items.truncate(MAX_PAGE_RECORDS);
        Reply::json(
            200,
            &json!({"items": items, "hasMore": has_more, "end": records.len()}),
        )
    }

    fn append(&self, request: &Request) -> Reply {
        let topic = request.query("topic");
        let mut rest = request.body.as_ref();
        while let Some((size, after)) = rest.split_first_chunk::<4>() {
            let size = u32::from_be_bytes(*size) as usize;
            let Some((content, after)) = after.split_at_checked(size) else {
                return Reply::status(400);
            };
            let Some((key, value)) = split_key(content) else {
                return Reply::status(400);
            };
            self.put(&topic, &key, value);
            rest = after;
        }
        Reply::json(200, &json!({"offset": 0, "end": 0}))
    }

    /// Assigns the only partition to the first member by name, of those that have joined within their term.
    fn join(&self, request: &Request) -> Reply {
        let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let member = body["member"].as_str().unwrap_or_default().to_owned();
        let topic = body["topics"][0].as_str().unwrap_or_default().to_owned();
        let term_ms = body["ttlMs"].as_u64().unwrap_or_default();
        let now = Instant::now();
        let mut state = self.state();
        let before = state.members.len();
        state.members.retain(|_, until| now < *until);
        let has_lapsed = state.members.len() < before;
        let until = now + Duration::from_millis(term_ms);
        let is_new = state.members.insert(member.clone(), until).is_none();
        state.generation += u64::from(has_lapsed || is_new);
        let is_assigned = state.members.keys().next() == Some(&member);
        let parts = match is_assigned {
            true => json!([[topic, 0, 0]]),
            false => json!([]),
        };
        Reply::json(
            200,
            &json!({"generation": state.generation, "ttlMs": term_ms, "parts": parts}),
        )
    }

    fn leave(&self, request: &Request) -> Reply {
        let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut state = self.state();
        state
            .members
            .remove(body["member"].as_str().unwrap_or_default());
        state.generation += 1;
        Reply::json(200, &json!({}))
    }
}

fn split_key(content: &[u8]) -> Option<(String, &[u8])> {
    let (size, rest) = content.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*size))?;
    Some((String::from_utf8(key.to_vec()).ok()?, value))
}

fn encode_records(records: &[Record], from: usize, first: usize) -> Vec<u8> {
    let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
    bytes.extend((first as u64).to_be_bytes());
    for Record { key, value, .. } in records.iter().skip(from) {
        bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
        bytes.push(key.len() as u8);
        bytes.extend(key.as_bytes());
        bytes.extend(value);
    }
    bytes
}
