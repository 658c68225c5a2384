//! A log service in the test process, with faults that the test injects.
#![allow(dead_code, reason = "each test file uses a part")]

use {
    bytes::Bytes,
    camphorweir_wire::{
        codec,
        log::{Append, Appended, Page, Stored},
    },
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_bytes::ByteBuf,
    std::{
        collections::VecDeque,
        io,
        net::{SocketAddr, TcpListener as StdListener},
        sync::{Arc, Mutex},
        thread,
    },
    tokio::{net::TcpListener, runtime},
};

/// What the service does with one append request.
#[derive(Clone, Debug)]
pub(crate) enum AppendOutcome {
    /// The records are stored and the response is sent.
    Acknowledged,
    /// The records are stored, and the connection breaks before the response.
    ResponseLost,
    /// The records are not stored, and the connection breaks.
    RequestLost,
    /// The connection breaks; the records are stored after this many further appends have arrived.
    Delayed(usize),
    /// These records of another client are stored just before; the response is sent.
    Preceded(Vec<Vec<u8>>),
}

/// The content of the log and the faults to inject.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) records: Vec<Vec<u8>>,
    /// Name of the stream that is served; empty stands for `config`.
    pub(crate) stream: String,
    /// When each record was appended, in milliseconds; 0 for records past the end of this list.
    pub(crate) times: Vec<u64>,
    /// Records at lower offsets are deleted.
    pub(crate) oldest: usize,
    /// Outcomes of the next appends; further appends are acknowledged.
    pub(crate) append_outcomes: VecDeque<AppendOutcome>,
    /// How many of the next reads succeed, and how many after those fail.
    pub(crate) read_failures: Option<(usize, usize)>,
    /// Number of append requests received.
    pub(crate) appends: usize,
    /// Delayed records, each with the number of appends still to arrive before it is stored.
    pub(crate) delayed: Vec<(usize, Vec<u8>)>,
}

/// The service on its own port, running until the test process ends.
pub(crate) struct LogService {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<State>>,
}

impl LogService {
    pub(crate) fn start(state: State) -> Self {
        let listener = StdListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(state));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(serve(listener, shared));
        });
        Self { address, state }
    }

    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

async fn serve(listener: StdListener, state: Arc<Mutex<State>>) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let service = service_fn(|request| handle(request, Arc::clone(&state)));
            let connection = hyper::server::conn::http1::Builder::new();
            let _ = connection
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn handle(
    request: Request<Incoming>,
    state: Arc<Mutex<State>>,
) -> io::Result<Response<Full<Bytes>>> {
    let path = request.uri().path().to_owned();
    assert!(request.headers().contains_key("camphorweir-from"));
    let query = request.uri().query().unwrap_or_default().to_owned();
    let method = request.method().clone();
    let body = request.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let mut state = state.lock().unwrap();
    let stream = match state.stream.as_str() {
        "" => "config",
        stream => stream,
    };
    assert_eq!(path, format!("/streams/{stream}"));
    let bytes = match method {
        Method::GET => codec::encode(&read(&mut state, &query)?),
        Method::POST => codec::encode(&append(&mut state, &body)?),
        _ => {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
            return Ok(response);
        }
    };
    Ok(Response::new(Full::from(bytes)))
}

fn connection_lost<T>() -> io::Result<T> {
    Err(io::Error::other("connection lost by the test"))
}

fn read(state: &mut State, query: &str) -> io::Result<Page> {
    if let Some((successes, failures)) = &mut state.read_failures {
        if *successes > 0 {
            *successes -= 1;
        } else if *failures > 0 {
            *failures -= 1;
            return connection_lost();
        }
    }
    let from = query
        .split('&')
        .find_map(|part| part.strip_prefix("from="))
        .unwrap();
    let from: usize = from.parse().unwrap();
    let records = state.records.iter().enumerate();
    let records = records.skip(from.max(state.oldest)).take(2);
    let stored = |(offset, body): (usize, &Vec<u8>)| Stored {
        offset: offset as u64,
        time_ms: state.times.get(offset).copied().unwrap_or(0),
        body: ByteBuf::from(body.clone()),
    };
    Ok(Page {
        oldest: state.oldest as u64,
        end: state.records.len() as u64,
        records: records.map(stored).collect(),
    })
}

fn append(state: &mut State, body: &[u8]) -> io::Result<Appended> {
    let Append { records } = codec::decode(body).unwrap();
    let records: Vec<Vec<u8>> = records.into_iter().map(ByteBuf::into_vec).collect();
    state.appends += 1;
    for (wait, _) in &mut state.delayed {
        *wait -= 1;
    }
    let due = state.delayed.extract_if(.., |(wait, _)| *wait == 0);
    let due: Vec<_> = due.map(|(_, record)| record).collect();
    let outcome = state
        .append_outcomes
        .pop_front()
        .unwrap_or(AppendOutcome::Acknowledged);
    if let AppendOutcome::Preceded(rivals) = &outcome {
        state.records.extend(rivals.iter().cloned());
    }
    let first = state.records.len() as u64;
    match &outcome {
        AppendOutcome::RequestLost => {}
        AppendOutcome::Delayed(wait) => state
            .delayed
            .extend(records.into_iter().map(|record| (*wait, record))),
        _ => state.records.extend(records),
    }
    state.records.extend(due);
    match outcome {
        AppendOutcome::Acknowledged | AppendOutcome::Preceded(_) => Ok(Appended { first }),
        _ => connection_lost(),
    }
}
