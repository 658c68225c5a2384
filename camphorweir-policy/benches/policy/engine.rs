//! A fake engine with a queue, a compute rate, a batch limit and a prefix cache.

use {
    camphorweir_config::model::{Kind, Priority},
    camphorweir_wire::{
        engine::{BLOCK_POSITIONS, Cached, Command, Done, Layers, Load, Open, Opened, Reply, Step},
        ids::{AttemptId, RequestId},
    },
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
};

/// Most positions that one batch prefills beside the decoding attempts.
const MAX_PREFILL_POSITIONS: u32 = 512;

/// An attempt: the entry's number, the request and the attempt.
type AttemptKey = (usize, RequestId, AttemptId);

struct Work {
    attempt: AttemptKey,
    step: Step,
    /// Positions still to be computed.
    left: u32,
}

/// A fake engine.
pub(crate) struct Engine {
    pub(crate) kind: Kind,
    pub(crate) layers: Layers,
    pub(crate) zone: String,
    pub(crate) up: bool,
    pub(crate) frozen: bool,
    pub(crate) busy: bool,
    /// Most blocks that the cache holds.
    pub(crate) cache_blocks: usize,
    /// Prompt positions that were not computed because they were cached, and all prompt positions.
    pub(crate) cached_positions: u64,
    pub(crate) prompt_positions: u64,
    attempts: HashMap<AttemptKey, (Priority, Vec<u64>)>,
    decode: BTreeMap<(Priority, u64), Work>,
    prefill: BTreeMap<(Priority, u64), Work>,
    batch: Vec<Work>,
    cache: HashMap<u64, u64>,
    last_uses: VecDeque<(u64, u64)>,
    cache_changes: Cached,
    sequence: u64,
}

impl Engine {
    pub(crate) fn new(kind: Kind, layers: Layers, zone: String, cache_blocks: usize) -> Self {
        Self {
            kind,
            layers,
            zone,
            up: true,
            frozen: false,
            busy: false,
            cache_blocks,
            cached_positions: 0,
            prompt_positions: 0,
            attempts: HashMap::new(),
            decode: BTreeMap::new(),
            prefill: BTreeMap::new(),
            batch: Vec::new(),
            cache: HashMap::new(),
            last_uses: VecDeque::new(),
            cache_changes: Cached {
                sequence: 0,
                added: Vec::new(),
                removed: Vec::new(),
            },
            sequence: 0,
        }
    }

    /// Handles an order; steps wait for a batch.
    pub(crate) fn order(&mut self, entry: usize, order: Command) -> Option<Reply> {
        match order {
            Command::Open(open) => return Some(self.open(entry, open)),
            Command::Step(step) => self.push(entry, step),
            Command::Cancel(request, attempt) => {
                let key = (entry, request, attempt);
                if self.attempts.remove(&key).is_some() {
                    self.decode.retain(|_, work| work.attempt != key);
                    self.prefill.retain(|_, work| work.attempt != key);
                }
            }
            Command::Assign(_) => {}
        }
        None
    }

    fn open(&mut self, entry: usize, open: Open) -> Reply {
        let cached = open
            .prefix
            .iter()
            .take_while(|hash| self.cache.contains_key(hash));
        let held = cached.count() as u32 * BLOCK_POSITIONS;
        let (request, attempt) = (open.request, open.attempt);
        let key = (entry, request, attempt);
        self.attempts.insert(key, (open.priority, open.prefix));
        Reply::Opened(Opened {
            request,
            attempt,
            cached: held,
        })
    }

    fn push(&mut self, entry: usize, step: Step) {
        let key = (entry, step.request, step.attempt);
        let Some((priority, _)) = self.attempts.get(&key) else {
            return;
        };
        self.sequence += 1;
        let left = step.input.len() as u32;
        let queue = if left == 1 {
            &mut self.decode
        } else {
            &mut self.prefill
        };
        queue.insert(
            (*priority, self.sequence),
            Work {
                attempt: key,
                step,
                left,
            },
        );
    }

    /// Starts a batch if there is work and returns the time that the batch takes.
    pub(crate) fn start(&mut self) -> Option<Duration> {
        if self.busy || !self.up || self.frozen {
            return None;
        }
        let depth = f64::from(self.layers.end - self.layers.first);
        let mut time = 0.0;
        while self.batch.len() < self.kind.batch as usize {
            let Some((_, work)) = self.decode.pop_first() else {
                break;
            };
            self.batch.push(work);
            time = depth * self.kind.decode_layer_us / 1e6;
        }
        if let Some(mut first) = self.prefill.first_entry() {
            let count = first.get().left.min(MAX_PREFILL_POSITIONS);
            first.get_mut().left -= count;
            time += f64::from(count) * depth / self.kind.prefill_rate;
            if first.get().left == 0 {
                self.batch.push(first.remove());
            }
        }
        self.busy = time > 0.0;
        self.busy.then(|| Duration::from_secs_f64(time))
    }

    /// Ends the running batch and returns the replies to the entries.
    pub(crate) fn finish(&mut self, model_layers: u32) -> Vec<(usize, Reply)> {
        self.busy = false;
        let batch = std::mem::take(&mut self.batch);
        let mut replies = Vec::new();
        for work in batch {
            let Some((_, prefix)) = self.attempts.get(&work.attempt) else {
                continue;
            };
            if work.step.input.len() > 1 {
                self.cached_positions += u64::from(work.step.position);
                self.prompt_positions +=
                    u64::from(work.step.position) + work.step.input.len() as u64;
                for hash in prefix.clone() {
                    self.cache_block(hash);
                }
            }
            let is_last = work.step.layers.end == model_layers;
            let output = if is_last { Vec::new() } else { work.step.input };
            replies.push((
                work.attempt.0,
                Reply::Done(Done {
                    request: work.step.request,
                    attempt: work.step.attempt,
                    position: work.step.position,
                    layers: work.step.layers,
                    output,
                    token: is_last.then_some(7),
                }),
            ));
        }
        replies
    }

    /// Caches a block, evicting the least recently used ones beyond the capacity.
    fn cache_block(&mut self, hash: u64) {
        if self.cache_blocks == 0 {
            return;
        }
        self.sequence += 1;
        if self.cache.insert(hash, self.sequence).is_none() {
            self.cache_changes.added.push(hash);
        }
        self.last_uses.push_back((hash, self.sequence));
        while self.cache.len() > self.cache_blocks {
            let Some((old, at)) = self.last_uses.pop_front() else {
                break;
            };
            if self.cache.get(&old) == Some(&at) {
                self.cache.remove(&old);
                self.cache_changes.removed.push(old);
            }
        }
    }

    /// Returns the periodic reports: the load, and the changes of the cache.
    pub(crate) fn report(&mut self) -> Vec<Reply> {
        let prefill_positions: u32 = self.prefill.values().map(|work| work.left).sum();
        let mut reports = vec![Reply::Load(Load {
            age_ms: 100,
            open_attempts: self.attempts.len() as u32,
            queued_positions: u64::from(prefill_positions) + self.decode.len() as u64,
        })];
        if !self.cache_changes.added.is_empty() || !self.cache_changes.removed.is_empty() {
            let sequence = self.cache_changes.sequence + 1;
            let empty = Cached {
                sequence,
                added: Vec::new(),
                removed: Vec::new(),
            };
            reports.push(Reply::Cached(std::mem::replace(
                &mut self.cache_changes,
                empty,
            )));
        }
        reports
    }
}
