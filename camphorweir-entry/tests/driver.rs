//! The driver of the core's task, with actions queued by the test in place of a core.

use {
    camphorweir_entry::{
        clock::Clock,
        core_task::{self, Arrival, Handle, Input, Payload, Query, Responder, TOKEN_QUEUE_LEN},
        driver::{Decider, Driver, Environment},
        fetch::HttpClient,
        monitor::Activity,
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

/// An address without a listener.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// Reports every event except ticks to the test, and returns the actions that the test has queued.
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

    fn answer_query(&self, _now: Now, query: Query) {
        panic!("unexpected query: {query:?}");
    }
}

/// A running driver, and the channels through which the test controls it.
struct Rig {
    core_handle: Handle,
    events: mpsc::UnboundedReceiver<Event>,
    actions: mpsc::UnboundedSender<Action>,
    ready: watch::Receiver<bool>,
    finished: watch::Receiver<bool>,
}

fn rig() -> Rig {
    let (core_handle, inputs) = core_task::channel();
    let (event_sender, events) = mpsc::unbounded_channel();
    let (actions, action_receiver) = mpsc::unbounded_channel();
    let (ready_sender, ready) = watch::channel(false);
    let (finished_sender, finished) = watch::channel(false);
    let http_client = HttpClient::new("entry-a1");
    let environment = Environment {
        core_handle: core_handle.clone(),
        clock: Clock::start(),
        log_client: LogClient::new(http_client.clone(), &format!("http://{UNUSED_ADDRESS}")),
        peers: PeerSender::new(
            http_client,
            core_handle.clone(),
            Secret::new([1; 32]),
            "entry-a1".to_owned(),
            1,
        ),
        metrics: Metrics::new().unwrap(),
        max_answer: 1000,
        ready: ready_sender,
        finished: finished_sender,
    };
    let script = Script {
        events: event_sender,
        actions: action_receiver,
    };
    tokio::spawn(Driver::new(script, environment).run(inputs));
    Rig {
        core_handle,
        events,
        actions,
        ready,
        finished,
    }
}

impl Rig {
    fn queue_actions(&self, actions: impl IntoIterator<Item = Action>) {
        actions
            .into_iter()
            .for_each(|action| self.actions.send(action).unwrap());
    }

    async fn event(&mut self) -> Event {
        self.events.recv().await.unwrap()
    }

    /// Checks that no event is pending: the next one is the event that this sends.
    async fn assert_no_event(&mut self) {
        self.core_handle
            .send_event(Event::ListFailed)
            .await
            .unwrap();
        assert_eq!(self.event().await, Event::ListFailed);
    }

    /// Sends a request with this id to the driver.
    async fn send_arrival(
        &mut self,
        id: RequestId,
    ) -> (mpsc::Receiver<Token>, oneshot::Receiver<End>) {
        let (tokens, token_receiver) = mpsc::channel(TOKEN_QUEUE_LEN);
        let (end, end_receiver) = oneshot::channel();
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
        self.core_handle
            .send(Input::Arrival(arrival))
            .await
            .unwrap();
        assert_eq!(self.event().await, Event::Arrive(call));
        (token_receiver, end_receiver)
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
async fn a_caller_with_a_full_token_queue_is_dropped_and_reported_once() {
    let mut rig = rig();
    let (mut tokens, end) = rig.send_arrival(5).await;
    rig.queue_actions((0..=TOKEN_QUEUE_LEN as u32).map(|token| Action::Token(5, token)));
    assert_eq!(rig.event().await, Event::CallerGone(5));
    let mut received = Vec::new();
    tokens.recv_many(&mut received, TOKEN_QUEUE_LEN).await;
    assert_eq!(received, (0..TOKEN_QUEUE_LEN as u32).collect::<Vec<_>>());
    match end.await.unwrap() {
        End::Refused(refusal) => assert_eq!(refusal.code, Code::CallerGone),
        other => panic!("a refusal was expected: {other:?}"),
    }
    rig.core_handle.report_disconnect(5);
    rig.assert_no_event().await;
}

#[tokio::test]
async fn a_disconnect_after_the_end_is_not_reported() {
    let mut rig = rig();
    let (_tokens, end) = rig.send_arrival(5).await;
    rig.queue_actions([Action::Reply(5, finished())]);
    assert_eq!(end.await.unwrap(), finished());
    rig.core_handle.report_disconnect(5);
    rig.assert_no_event().await;
    let _caller = rig.send_arrival(6).await;
    rig.core_handle.report_disconnect(6);
    assert_eq!(rig.event().await, Event::CallerGone(6));
}

#[tokio::test]
async fn an_exchange_outlives_its_caller_and_an_abandoned_one_is_not_reported() {
    let mut rig = rig();
    let (_tokens, end) = rig.send_arrival(5).await;
    rig.core_handle.report_disconnect(5);
    assert_eq!(rig.event().await, Event::CallerGone(5));
    rig.queue_actions([forward(5, UNUSED_ADDRESS, Duration::from_secs(60))]);
    assert_eq!(
        rig.event().await,
        Event::ExchangeEnded(5, 2, Exchange::Unsent)
    );
    drop(end);
    rig.queue_actions([
        forward(5, UNUSED_ADDRESS, Duration::from_secs(60)),
        Action::CancelExchange(5, 2),
        Action::Ready(true),
    ]);
    assert!(rig.ready.wait_for(|ready| *ready).await.is_ok());
    rig.assert_no_event().await;
    // The driver forgets a request at its end, so it can no longer be forwarded.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    rig.queue_actions([
        Action::Reply(5, finished()),
        forward(5, &address, Duration::from_secs(1)),
    ]);
    assert_eq!(
        rig.event().await,
        Event::ExchangeEnded(5, 2, Exchange::Unsent)
    );
}

#[tokio::test]
async fn events_of_replaced_connections_are_ignored() {
    let mut rig = rig();
    let target = || "log-a1".to_owned();
    let load = |open| {
        Reply::Load(Load {
            age_ms: 0,
            open_attempts: open,
            queued_positions: 0,
        })
    };
    let load_input = |id, open| Input::Tagged(id, Event::EngineReply(target(), load(open)));
    let address = || UNUSED_ADDRESS.to_owned();
    rig.queue_actions([
        Action::Link(target(), address()),
        Action::Link(target(), address()),
    ]);
    assert_eq!(rig.event().await, Event::Disconnected(target()));
    rig.core_handle.send(load_input(1, 1)).await.unwrap();
    rig.core_handle.send(load_input(2, 2)).await.unwrap();
    let reported = loop {
        match rig.event().await {
            Event::Disconnected(_) => {}
            other => break other,
        }
    };
    assert_eq!(reported, Event::EngineReply(target(), load(2)));
    rig.queue_actions([Action::Unlink(target()), Action::Ready(true)]);
    assert!(rig.ready.wait_for(|ready| *ready).await.is_ok());
    rig.core_handle.send(load_input(2, 3)).await.unwrap();
    rig.core_handle.send_event(Event::ListFailed).await.unwrap();
    let reported = loop {
        match rig.event().await {
            Event::Disconnected(_) => {}
            other => break other,
        }
    };
    assert_eq!(reported, Event::ListFailed);
}

#[tokio::test]
async fn events_of_replaced_tails_are_ignored() {
    let mut rig = rig();
    let stream = || "claims-00".to_owned();
    let page = |end| Page {
        oldest: 0,
        end,
        records: Vec::new(),
    };
    rig.queue_actions([Action::Tail(stream(), 0), Action::Tail(stream(), 4)]);
    assert_eq!(rig.event().await, Event::TailFailed(stream()));
    for (id, end) in [(1, 1), (2, 2)] {
        let input = Input::Tagged(id, Event::StreamPage(stream(), page(end)));
        rig.core_handle.send(input).await.unwrap();
    }
    let reported = loop {
        match rig.event().await {
            Event::TailFailed(_) => {}
            other => break other,
        }
    };
    assert_eq!(reported, Event::StreamPage(stream(), page(2)));
}

#[tokio::test]
async fn the_exit_action_sets_finished() {
    let mut rig = rig();
    rig.queue_actions([Action::Ready(true), Action::Exit]);
    assert!(rig.ready.wait_for(|ready| *ready).await.is_ok());
    assert!(rig.finished.wait_for(|finished| *finished).await.is_ok());
}
