//! The account of the memory that is held for clients, and request bodies that arrive within it.

use {
    bytes::Bytes,
    camphorweir_relay::memory::{Arrivals, BodyId, Class, SMALL_BYTES, Sender, memory_room},
    camphorweir_wire::code::Code,
    futures::poll,
    http_body_util::BodyExt,
    hyper::body::{Body, Frame, Incoming},
    std::{
        collections::HashMap,
        net::IpAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        task::Poll,
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot},
        time::{Instant, timeout},
    },
};

/// First size of the buffer of a body without a length, in bytes.
const FIRST_BUFFER_BYTES: usize = READ_BUFFER_BYTES;
/// Factor by which that buffer grows.
const GROWTH: usize = 4;
/// Size up to which a body is part of what is booked for its connection, in bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Bytes of a body that are recorded as progress at a time.
const RECORDED_BYTES: usize = 4 << 10;
/// An instance counts as short of memory for this long after a body was refused.
const SHORT_TIME: Duration = Duration::from_secs(5);
/// Limit on the wait for bodies that yield: their tasks have to run.
const YIELD_WAIT: Duration = Duration::from_millis(250);

/// The account; clones share it.
///
/// Invariant: the sum of all [`Booking`]s is `booked`, and no booking takes it above `limit`.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    limit: AtomicUsize,
    booked: AtomicUsize,
    table: Mutex<Table>,
    /// Notified when a booking ends.
    released: Notify,
    /// When the instance counts as having room again, after a body was refused.
    short_until: Mutex<Option<Instant>>,
    started: Instant,
}

#[derive(Debug, Default)]
struct Table {
    arrivals: Arrivals,
    /// Tells a body that it yields.
    yields: HashMap<BodyId, oneshot::Sender<()>>,
}

impl Memory {
    /// An account of so many bytes; [`usize::MAX`] for one without a limit.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Inner {
            limit: AtomicUsize::new(limit),
            booked: AtomicUsize::new(0),
            table: Mutex::default(),
            released: Notify::new(),
            short_until: Mutex::default(),
            started: Instant::now(),
        }))
    }

    /// Puts another limit in force; what is booked stays.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    /// The limit in bytes; [`usize::MAX`] without one.
    pub fn limit(&self) -> usize {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// Bytes that are booked.
    pub fn booked(&self) -> usize {
        self.0.booked.load(Ordering::Relaxed)
    }

    /// Whether a large body was lately refused for want of room.
    pub fn is_short(&self) -> bool {
        let short_until = *self.short_until();
        short_until.is_some_and(|until| Instant::now() < until)
    }

    fn short_until(&self) -> MutexGuard<'_, Option<Instant>> {
        let short_until = &self.0.short_until;
        short_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request is refused; logs it if that had not happened for a while.
    pub fn record_refused(&self, sender: &Sender) {
        if !self.is_short() {
            let (arriving, largest) = self.arriving();
            log::warn!(
                limit = self.limit(),
                booked = self.booked(),
                arriving = arriving,
                refused:% = sender.address,
                largest_sender:? = largest;
                "short of memory for what clients send"
            );
        }
        *self.short_until() = Some(Instant::now() + SHORT_TIME);
    }

    /// Number of bodies that arrive and aren't whole, and who sends most of them with the bytes booked for it.
    pub fn arriving(&self) -> (usize, Option<(IpAddr, usize)>) {
        let table = self.table();
        let largest = table.arrivals.largest_sender();
        let largest = largest.map(|(sender, bytes)| (sender.address, bytes));
        (table.arrivals.count(), largest)
    }

    /// Books bytes; `None` without room.
    pub fn book(&self, bytes: usize, class: Class) -> Option<Booking> {
        let mut booking = self.booking();
        booking.grow(bytes, class).then_some(booking)
    }

    /// Books bytes as soon as others release them, which were asked to.
    pub async fn book_released(&self, bytes: usize, class: Class) -> Option<Booking> {
        let mut booking = self.booking();
        let is_booked = self.grow_released(&mut booking, bytes, class).await;
        is_booked.then_some(booking)
    }

    /// Books more as soon as others release it, which were asked to; `false` if that takes too long.
    pub async fn grow_released(&self, booking: &mut Booking, more: usize, class: Class) -> bool {
        let room = async {
            loop {
                let released = self.0.released.notified();
                if booking.grow(more, class) {
                    return;
                }
                released.await;
            }
        };
        timeout(YIELD_WAIT, room).await.is_ok()
    }

    /// A booking of nothing.
    pub fn booking(&self) -> Booking {
        Booking {
            memory: self.clone(),
            bytes: 0,
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    /// Receives the body of a request of `sender`, of at most `max_bytes`. What it returns is booked for as long as
    /// any part of it is held.
    ///
    /// # Errors
    ///
    /// [`Code::BodyTooLarge`], at once where the head says so; [`Code::ShortOfMemory`] without room, or when it yields to
    /// others; [`Code::Malformed`] when it ends early.
    pub async fn receive(
        &self,
        mut body: Incoming,
        sender: &Sender,
        max_bytes: usize,
    ) -> Result<Bytes, Code> {
        let announced = body.size_hint().exact();
        let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if announced.is_some_and(|bytes| bytes > max_bytes) {
            return Err(Code::BodyTooLarge);
        }
        if announced == Some(0) {
            return Ok(Bytes::new());
        }
        let size = announced.unwrap_or(FIRST_BUFFER_BYTES.min(max_bytes));
        let mut booking = self.booking();
        // A smaller one has come into the read buffer of its connection, or soon will.
        if size > READ_BUFFER_BYTES && !booking.grow(size, Class::of(size)) {
            self.make_room(&mut booking, size, Class::of(size), sender, None)
                .await?;
        }
        // Most bodies come in one piece, with their head.
        let Some(first) = next_ready(&mut body).await? else {
            return Ok(Bytes::new());
        };
        let second = next_ready(&mut body).await?;
        if second.is_none() && first.len() <= size {
            return Ok(hold(first, booking));
        }
        let mut upload = Upload {
            arrival: self.begin(sender, booking.bytes),
            sender,
            size,
            buffer: Vec::new(),
            booking,
            max_bytes,
            unrecorded: 0,
        };
        for bytes in [Some(first), second].into_iter().flatten() {
            upload.add(&bytes).await?;
        }
        while let Some(bytes) = upload.next(&mut body).await? {
            upload.add(&bytes).await?;
        }
        let Upload {
            buffer, booking, ..
        } = upload;
        Ok(hold(buffer, booking))
    }

    fn begin(&self, sender: &Sender, booked: usize) -> Arrival {
        let (yields, yielded) = oneshot::channel();
        let mut table = self.table();
        let id = table.arrivals.begin(sender.clone(), booked, self.now());
        table.yields.insert(id, yields);
        drop(table);
        Arrival {
            memory: self.clone(),
            id,
            yielded,
        }
    }

    /// Lets other bodies yield until `more` bytes are booked in addition, for something whose size is `size`.
    async fn make_room(
        &self,
        booking: &mut Booking,
        more: usize,
        class: Class,
        sender: &Sender,
        own: Option<BodyId>,
    ) -> Result<(), Code> {
        let need = more.saturating_sub(memory_room(self.limit(), self.booked(), class));
        let may_grow = need == 0 || self.ask_to_yield(sender, own, need);
        if may_grow && self.grow_released(booking, more, class).await {
            return Ok(());
        }
        self.record_refused(sender);
        Err(Code::ShortOfMemory)
    }

    /// Asks others to yield so many bytes to a body of `sender`; returns whether enough of them do.
    fn ask_to_yield(&self, sender: &Sender, own: Option<BodyId>, need: usize) -> bool {
        let mut table = self.table();
        let chosen = table.arrivals.choose(sender, own, need, self.now());
        for id in &chosen {
            if let Some(yields) = table.yields.remove(id) {
                // A body that has just ended has released what it held.
                let _ = yields.send(());
            }
        }
        !chosen.is_empty()
    }
}

/// Memory that is booked until dropped.
#[derive(Debug)]
pub struct Booking {
    memory: Memory,
    bytes: usize,
}

impl Booking {
    /// Bytes that are booked.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Books more; `false` without room.
    pub fn grow(&mut self, more: usize, class: Class) -> bool {
        let Inner { limit, booked, .. } = &*self.memory.0;
        let limit = limit.load(Ordering::Relaxed);
        let grown = booked.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |booked| {
            (more <= memory_room(limit, booked, class)).then(|| booked + more)
        });
        if grown.is_ok() {
            self.bytes += more;
        }
        grown.is_ok()
    }
}

impl Drop for Booking {
    fn drop(&mut self) {
        let Inner {
            booked, released, ..
        } = &*self.memory.0;
        booked.fetch_sub(self.bytes, Ordering::Relaxed);
        released.notify_waiters();
    }
}

/// Keeps bytes booked until the last part of them is dropped.
pub fn hold(bytes: impl AsRef<[u8]> + Send + 'static, booking: Booking) -> Bytes {
    Bytes::from_owner(Held {
        bytes,
        _booking: booking,
    })
}

struct Held<B> {
    bytes: B,
    _booking: Booking,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for Held<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// A body that may be told to yield; removed from the account's table when dropped.
#[derive(Debug)]
struct Arrival {
    memory: Memory,
    id: BodyId,
    yielded: oneshot::Receiver<()>,
}

impl Drop for Arrival {
    fn drop(&mut self) {
        let mut table = self.memory.table();
        table.arrivals.end(self.id);
        table.yields.remove(&self.id);
    }
}

/// A body that arrives in several pieces, copied into one buffer: a piece is part of the buffer that it was read
/// into, which would be kept with it.
struct Upload<'a> {
    arrival: Arrival,
    sender: &'a Sender,
    /// First size of the buffer: that of the body where it is known.
    size: usize,
    /// Never larger than what is booked, but for [`READ_BUFFER_BYTES`].
    buffer: Vec<u8>,
    booking: Booking,
    max_bytes: usize,
    /// Bytes not yet recorded as progress.
    unrecorded: usize,
}

impl Upload<'_> {
    async fn next(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Code> {
        tokio::select! {
            biased;
            _ = &mut self.arrival.yielded => Err(Code::ShortOfMemory),
            frame = body.frame() => data(frame),
        }
    }

    async fn add(&mut self, bytes: &[u8]) -> Result<(), Code> {
        let length = self.buffer.len() + bytes.len();
        if length > self.max_bytes {
            return Err(Code::BodyTooLarge);
        }
        if length > self.buffer.capacity() {
            let size = (self.buffer.capacity() * GROWTH).max(self.size).max(length);
            self.grow(size.min(self.max_bytes)).await?;
        }
        self.buffer.extend_from_slice(bytes);
        self.unrecorded += bytes.len();
        if self.unrecorded >= RECORDED_BYTES {
            let Arrival { memory, id, .. } = &self.arrival;
            let now = memory.now();
            memory.table().arrivals.record(*id, self.unrecorded, now);
            self.unrecorded = 0;
        }
        Ok(())
    }

    /// Books a buffer of `size` bytes and moves the body there.
    async fn grow(&mut self, size: usize) -> Result<(), Code> {
        let Arrival { memory, id, .. } = &self.arrival;
        let more = match size {
            ..=READ_BUFFER_BYTES => 0,
            _ => size.saturating_sub(self.booking.bytes),
        };
        let class = Class::of(size);
        if !self.booking.grow(more, class) {
            let memory = memory.clone();
            let room = memory.make_room(&mut self.booking, more, class, self.sender, Some(*id));
            room.await?;
        }
        memory.table().arrivals.grow(*id, more);
        self.buffer.reserve_exact(size - self.buffer.len());
        Ok(())
    }
}

/// The next bytes of a body if they have arrived, none if not; `None` at its end.
async fn next_ready(body: &mut Incoming) -> Result<Option<Bytes>, Code> {
    if body.is_end_stream() {
        return Ok(None);
    }
    match poll!(body.frame()) {
        Poll::Ready(frame) => data(frame),
        Poll::Pending => Ok(Some(Bytes::new())),
    }
}

/// The bytes of a frame, none for trailers; `None` at the end of the body.
fn data(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Result<Option<Bytes>, Code> {
    let frame = frame.transpose().map_err(|_| Code::Malformed)?;
    Ok(frame.map(|frame| frame.into_data().unwrap_or_default()))
}

/// Reads a small body that nobody uses, without keeping it; returns whether it came to its end.
pub async fn discard(mut body: Incoming) -> bool {
    let is_small = |bytes: u64| bytes <= SMALL_BYTES as u64;
    let mut total = 0;
    if !is_small(body.size_hint().lower()) {
        return false;
    }
    while is_small(total) {
        match data(body.frame().await) {
            Ok(Some(bytes)) => total += bytes.len() as u64,
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
    false
}
