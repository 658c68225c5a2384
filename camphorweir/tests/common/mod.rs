//! A log service inside the test, with faults that the test sets.
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

/// What happens to one append.
#[derive(Clone, Debug)]
pub(crate) enum Fate {
    /// It lands and is answered.
    Answered,
    /// It lands, and the connection breaks before the answer.
    AnswerLost,
    /// It does not land, and the connection breaks.
    Lost,
    /// It lands after this many further appends were met; the connection breaks.
    Late(usize),
    /// These records land just before it.
    After(Vec<Vec<u8>>),
}

/// The content of the log and the faults to come.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) records: Vec<Vec<u8>>,
    /// The stream that is served; empty stands for the configuration's.
    pub(crate) stream: String,
    /// When each record landed, in milliseconds; 0 for those past the end.
    pub(crate) times: Vec<u64>,
    /// Records below this are no longer there.
    pub(crate) oldest: usize,
    /// Of the appends to come; those past the end are answered.
    pub(crate) fates: VecDeque<Fate>,
    /// Reads to come that fail, after this many that do not.
    pub(crate) reads_fail: Option<(usize, usize)>,
    pub(crate) appends: usize,
    pub(crate) late: Vec<(usize, Vec<u8>)>,
}

/// The service on a port of its own; it ends with the test process.
pub(crate) struct Log {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<State>>,
}

impl Log {
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
            let service = service_fn(|request| answer(request, Arc::clone(&state)));
            let connection = hyper::server::conn::http1::Builder::new();
            let _ = connection
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(
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
            let mut answer = Response::new(Full::default());
            *answer.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
            return Ok(answer);
        }
    };
    Ok(Response::new(Full::from(bytes)))
}

fn broken<T>() -> io::Result<T> {
    Err(io::Error::other("broken off"))
}

fn read(state: &mut State, query: &str) -> io::Result<Page> {
    if let Some((good, bad)) = &mut state.reads_fail {
        if *good > 0 {
            *good -= 1;
        } else if *bad > 0 {
            *bad -= 1;
            return broken();
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
    for (wait, _) in &mut state.late {
        *wait -= 1;
    }
    let due = state.late.extract_if(.., |(wait, _)| *wait == 0);
    let due: Vec<_> = due.map(|(_, record)| record).collect();
    let fate = state.fates.pop_front().unwrap_or(Fate::Answered);
    if let Fate::After(first) = &fate {
        state.records.extend(first.iter().cloned());
    }
    let first = state.records.len() as u64;
    match &fate {
        Fate::Lost => {}
        Fate::Late(wait) => state
            .late
            .extend(records.into_iter().map(|record| (*wait, record))),
        _ => state.records.extend(records),
    }
    state.records.extend(due);
    match fate {
        Fate::Answered | Fate::After(_) => Ok(Appended { first }),
        _ => broken(),
    }
}
