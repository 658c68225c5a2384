//! A zone cut off from the platform and the other zones goes on alone, and comes back.

use {
    crate::{
        child::until,
        deployment::{Deployment, Plan, Told},
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Mutex, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{sleep, timeout},
    },
};

/// The entry that is cut off; its zone has a chain of engines, a ledger and a lookup.
const CUT: &str = "entry-1";
/// The promise: with the log reachable every entry is at the accepted version within this time.
const EVERYWHERE: Duration = Duration::from_secs(5);
/// Longer than a peer may be silent before it is taken for unreachable.
const SILENCE: Duration = Duration::from_secs(4);

/// A way to one entry's peers' listener that can be cut for some of its peers.
struct Relay {
    address: SocketAddr,
    cut: watch::Sender<Vec<String>>,
}

impl Relay {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (cut, watched) = watch::channel(Vec::new());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, to, watched.clone()));
            }
        });
        Self { address, cut }
    }
}

/// Passes one connection on until its peer is cut.
async fn relay(mut from: TcpStream, to: SocketAddr, mut cut: watch::Receiver<Vec<String>>) {
    let mut head = vec![0; 16 << 10];
    let read = from.read(&mut head).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&head[..read]).to_lowercase();
    let mut passed = async || -> std::io::Result<()> {
        let mut stream = TcpStream::connect(to).await?;
        stream.write_all(&head[..read]).await?;
        copy_bidirectional(&mut from, &mut stream).await?;
        Ok(())
    };
    let is_cut = |names: &Vec<String>| {
        names
            .iter()
            .any(|name| text.contains(&format!("camphorweir-from: {name}\r\n")))
    };
    tokio::select! {
        biased;
        _ = cut.wait_for(is_cut) => {}
        _ = passed() => {}
    }
}

/// Cuts the second zone off, or ends the cut.
async fn set_cut(deployment: &Deployment, relays: &[Relay], cut: bool) {
    let names = |names: &[&str]| match cut {
        true => json!({"net": {"cut": names}}),
        false => json!({}),
    };
    deployment.log.faults(names(&[CUT])).await;
    deployment.list.faults(names(&[CUT])).await;
    for (id, target) in &deployment.targets {
        let inside = id.starts_with("t4-");
        let others: &[&str] = if inside {
            &["entry-0", "entry-2"]
        } else {
            &[CUT]
        };
        if inside || id.starts_with("l40-") {
            target.faults(names(others)).await;
        }
    }
    for (number, relay) in relays.iter().enumerate() {
        let others: &[&str] = if number == 1 {
            &["entry-0", "entry-2"]
        } else {
            &[CUT]
        };
        let others = others.iter().filter(|_| cut);
        relay
            .cut
            .send_replace(others.map(|name| (*name).to_owned()).collect());
    }
}

/// The newest version that an entry has had in force.
fn version(deployment: &Deployment, number: usize) -> Option<u64> {
    let printed = deployment.entries[number].child.printed();
    let mut lines = printed.lines().rev();
    let line = lines.find(|line| line.contains("configuration in force"))?;
    serde_json::from_str::<Value>(line).unwrap()["kvs"]["version"].as_u64()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_is_cut_off_goes_on_alone_and_catches_up() {
    let mut deployment = Deployment::start(Plan {
        decode_layer_us: 1000.0,
        ..Plan::default()
    })
    .await;
    let mut relays = Vec::new();
    for entry in &deployment.entries {
        relays.push(Relay::start(entry.peers).await);
    }
    for (entry, relay) in deployment.entries.iter().zip(&relays) {
        deployment.relayed.insert(entry.name.clone(), relay.address);
    }
    deployment.list_all().await;
    let callers = deployment.callers();
    let mut streams = Vec::new();
    for (number, caller) in callers.iter().enumerate() {
        streams.push(
            caller
                .stream(&format!("through the cut {number}"), 100)
                .await,
        );
    }
    for stream in &mut streams {
        stream.reach(2).await;
    }
    set_cut(&deployment, &relays, true).await;
    let told = Mutex::new(Vec::new());
    until("the refusal of a seal", || async {
        let mut one = Told::new();
        let answer = callers[1].seal(one.key, 1).await.unwrap();
        assert_eq!(answer.ran, "no", "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
        let known = answer.code == Some(4001);
        one.take(Some(answer));
        told.lock().unwrap().push(one);
        known.then_some(())
    })
    .await;
    for stream in streams {
        stream.finish().await;
    }
    sleep(SILENCE).await;
    for caller in &callers {
        caller.right_stream("inside the cut", 10).await;
        caller.right_status(1).await;
    }
    let file = deployment.file("during", |document| {
        document
            .workspaces
            .get_mut("depot-9")
            .unwrap()
            .limits
            .concurrent = 9;
    });
    let published = deployment.publish("ada", &file).await;
    assert!(published.status.success(), "{published:?}");
    for number in [0, 2] {
        callers[number]
            .seal(Told::new().key, 1)
            .await
            .unwrap()
            .run();
    }
    assert_eq!(version(&deployment, 1), Some(1));

    set_cut(&deployment, &relays, false).await;
    let caught_up = timeout(EVERYWHERE, async {
        while version(&deployment, 1) != Some(2) {
            sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(caught_up.await.is_ok(), "at {:?}", version(&deployment, 1));
    for mut one in told.into_inner().unwrap() {
        one.check(&deployment).await;
        let answer = until("a seal after the cut", || async {
            let answer = callers[1].seal(one.key, 1).await.unwrap();
            (answer.status == 200).then_some(answer)
        })
        .await;
        one.take(Some(answer));
        one.check(&deployment).await;
    }
    for caller in &callers {
        caller.right_stream("after the cut", 10).await;
    }
}
