//! The core's task with a script in place of the core.

use {
    camphorweir_entry::{
        clock::Clock,
        conn::Activity,
        core_task::{self, Arrival, Handle, Input, Payload, Query, Responder, TOKEN_QUEUE_LEN},
        driver::{Decider, Driver, Environment},
        fetch::HttpClient,
        peer::PeerSender,
        settings::Secret,
        streams::LogClient,
        telemetry::Metrics,
    },
    camphorweir_policy::{
        action::{Action, Forward},
        call::{Call, End, Finished, Kind, Plain},
        clock::Now,
        event::{Event, Exchange},
    },
    camphorweir_wire::{
        code::Code,
        engine::{Load, Reply},
        ids::{RequestId, Token},
        log::Page,
    },
    hyper::{HeaderMap, Method},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc, oneshot, watch},
    },
};

/// Nothing listens there.
const NOWHERE: &str = "127.0.0.1:1";

/// Tells the test every event but ticks, and answers each event with what the test has ready.
struct Script {
    events: mpsc::UnboundedSender<Event>,
    actions: mpsc::UnboundedReceiver<Action>,
}

impl Decider for Script {
    fn start(&mut self, _now: Now) -> Vec<Action> {
        Vec::new()
    }

    fn handle(&mut self, _now: Now, event: Event) -> Vec<Action> {
        if event != Event::Tick {
            let _ = self.events.send(event);
        }
        std::iter::from_fn(|| self.actions.try_recv().ok()).collect()
    }

    fn answer_query(&self, _now: Now, question: Query) {
        panic!("nobody asks here: {question:?}");
    }
}

struct Rig {
    port: Handle,
    events: mpsc::UnboundedReceiver<Event>,
    actions: mpsc::UnboundedSender<Action>,
    ready: watch::Receiver<bool>,
    finished: watch::Receiver<bool>,
}

fn rig() -> Rig {
    let (port, inputs) = core_task::channel();
    let (told, events) = mpsc::unbounded_channel();
    let (actions, script) = mpsc::unbounded_channel();
    let (ready_now, ready) = watch::channel(false);
    let (finished_now, finished) = watch::channel(false);
    let fetch = HttpClient::new("entry-a1");
    let environment = Environment {
        core_handle: port.clone(),
        clock: Clock::start(),
        log_client: LogClient::new(fetch.clone(), &format!("http://{NOWHERE}")),
        peers: PeerSender::new(
            fetch,
            port.clone(),
            Secret::new([1; 32]),
            "entry-a1".to_owned(),
            1,
        ),
        metrics: Metrics::new().unwrap(),
        max_answer: 1000,
        ready: ready_now,
        finished: finished_now,
    };
    let script = Script {
        events: told,
        actions: script,
    };
    tokio::spawn(Driver::new(script, environment).run(inputs));
    Rig {
        port,
        events,
        actions,
        ready,
        finished,
    }
}

impl Rig {
    fn act(&self, actions: impl IntoIterator<Item = Action>) {
        actions
            .into_iter()
            .for_each(|action| self.actions.send(action).unwrap());
    }

    async fn event(&mut self) -> Event {
        self.events.recv().await.unwrap()
    }

    /// Shows that nothing else was told before: an event that the test sends comes next.
    async fn nothing_told(&mut self) {
        self.port.send_event(Event::ListFailed).await.unwrap();
        assert_eq!(self.event().await, Event::ListFailed);
    }

    async fn arrive(&mut self, id: RequestId) -> (mpsc::Receiver<Token>, oneshot::Receiver<End>) {
        let (tokens, coming) = mpsc::channel(TOKEN_QUEUE_LEN);
        let (end, ending) = oneshot::channel();
        let plain = Plain {
            route: "ledger".to_owned(),
            idempotency_key: None,
            fingerprint: 1,
        };
        let call = Call {
            id,
            key: String::new(),
            kind: Kind::Plain(plain),
        };
        let responder = Responder {
            tokens,
            end,
            answer_guard: Activity::new().await_answer(),
        };
        let payload = Some(Arc::new(Payload {
            method: Method::GET,
            path: "/".to_owned(),
            headers: HeaderMap::new(),
            body: "".into(),
        }));
        let arrival = Box::new(Arrival {
            call: call.clone(),
            responder,
            payload,
        });
        self.port.send(Input::Arrival(arrival)).await.unwrap();
        assert_eq!(self.event().await, Event::Arrive(call));
        (coming, ending)
    }
}

fn finished() -> End {
    End::Finished(Finished {
        prompt: 1,
        tokens: 0,
        stopped: true,
    })
}

fn forward(call: RequestId, address: &str, until: Duration) -> Action {
    Action::Forward(Forward {
        request: call,
        attempt: 2,
        target: "ledger-1".to_owned(),
        address: address.to_owned(),
        fence: None,
        send_by: until,
        until,
    })
}

#[tokio::test]
async fn a_caller_too_far_behind_is_dropped_and_the_core_told_once() {
    let mut rig = rig();
    let (mut tokens, end) = rig.arrive(5).await;
    rig.act((0..=TOKEN_QUEUE_LEN as u32).map(|token| Action::Token(5, token)));
    assert_eq!(rig.event().await, Event::CallerGone(5));
    let mut came = Vec::new();
    tokens.recv_many(&mut came, TOKEN_QUEUE_LEN).await;
    assert_eq!(came, (0..TOKEN_QUEUE_LEN as u32).collect::<Vec<_>>());
    match end.await.unwrap() {
        End::Refused(refusal) => assert_eq!(refusal.code, Code::CallerGone),
        other => panic!("a refusal was expected: {other:?}"),
    }
    rig.port.report_disconnect(5);
    rig.nothing_told().await;
}

#[tokio::test]
async fn a_hangup_after_the_end_is_not_told() {
    let mut rig = rig();
    let (_tokens, end) = rig.arrive(5).await;
    rig.act([Action::Reply(5, finished())]);
    assert_eq!(end.await.unwrap(), finished());
    rig.port.report_disconnect(5);
    rig.nothing_told().await;
    let _caller = rig.arrive(6).await;
    rig.port.report_disconnect(6);
    assert_eq!(rig.event().await, Event::CallerGone(6));
}

#[tokio::test]
async fn an_exchange_outlives_its_caller_and_an_abandoned_one_has_no_end() {
    let mut rig = rig();
    let (_tokens, end) = rig.arrive(5).await;
    rig.port.report_disconnect(5);
    assert_eq!(rig.event().await, Event::CallerGone(5));
    rig.act([forward(5, NOWHERE, Duration::from_secs(60))]);
    assert_eq!(
        rig.event().await,
        Event::ExchangeEnded(5, 2, Exchange::Unsent)
    );
    drop(end);
    rig.act([
        forward(5, NOWHERE, Duration::from_secs(60)),
        Action::CancelExchange(5, 2),
        Action::Ready(true),
    ]);
    assert!(rig.ready.wait_for(|ready| *ready).await.is_ok());
    rig.nothing_told().await;
    // After its end a request is forgotten, so nothing of it can be sent.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = silent.local_addr().unwrap().to_string();
    rig.act([
        Action::Reply(5, finished()),
        forward(5, &address, Duration::from_secs(1)),
    ]);
    assert_eq!(
        rig.event().await,
        Event::ExchangeEnded(5, 2, Exchange::Unsent)
    );
}

#[tokio::test]
async fn only_the_connection_in_use_is_heard() {
    let mut rig = rig();
    let target = || "log-a1".to_owned();
    let load = |open| {
        Reply::Load(Load {
            age_ms: 0,
            open_attempts: open,
            queued_positions: 0,
        })
    };
    let say = |life, open| Input::Tagged(life, Event::EngineReply(target(), load(open)));
    let address = || NOWHERE.to_owned();
    rig.act([
        Action::Link(target(), address()),
        Action::Link(target(), address()),
    ]);
    assert_eq!(rig.event().await, Event::Disconnected(target()));
    rig.port.send(say(1, 1)).await.unwrap();
    rig.port.send(say(2, 2)).await.unwrap();
    let told = loop {
        match rig.event().await {
            Event::Disconnected(_) => {}
            other => break other,
        }
    };
    assert_eq!(told, Event::EngineReply(target(), load(2)));
    rig.act([Action::Unlink(target()), Action::Ready(true)]);
    assert!(rig.ready.wait_for(|ready| *ready).await.is_ok());
    rig.port.send(say(2, 3)).await.unwrap();
    rig.port.send_event(Event::ListFailed).await.unwrap();
    let told = loop {
        match rig.event().await {
            Event::Disconnected(_) => {}
            other => break other,
        }
    };
    assert_eq!(told, Event::ListFailed);
}

#[tokio::test]
async fn only_the_tail_in_use_is_heard() {
    let mut rig = rig();
    let stream = || "claims-00".to_owned();
    let page = |end| Page {
        oldest: 0,
        end,
        records: Vec::new(),
    };
    rig.act([Action::Tail(stream(), 0), Action::Tail(stream(), 4)]);
    assert_eq!(rig.event().await, Event::TailFailed(stream()));
    for (life, end) in [(1, 1), (2, 2)] {
        let input = Input::Tagged(life, Event::StreamPage(stream(), page(end)));
        rig.port.send(input).await.unwrap();
    }
    let told = loop {
        match rig.event().await {
            Event::TailFailed(_) => {}
            other => break other,
        }
    };
    assert_eq!(told, Event::StreamPage(stream(), page(2)));
}

#[tokio::test]
async fn the_exit_is_passed_on() {
    let mut rig = rig();
    rig.act([Action::Ready(true), Action::Exit]);
    assert!(rig.ready.wait_for(|ready| *ready).await.is_ok());
    assert!(rig.finished.wait_for(|finished| *finished).await.is_ok());
}
