//! A caller's side: requests, streams, and the right answers worked out alone.

use {
    crate::{child::GUARD, support},
    camphorweir_standin::{fleet, reference_model},
    camphorweir_wire::ids::Token,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request,
        body::{Bytes, Incoming},
    },
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde_json::{Value, json},
    std::net::SocketAddr,
    tokio::time::timeout,
    uuid::Uuid,
};

/// What came back.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// `yes`, `no` or `unknown`.
    pub(crate) ran: String,
    /// The numbered result, if it is not a success.
    pub(crate) code: Option<u16>,
    pub(crate) replayed: bool,
    /// Seconds.
    pub(crate) retry_after: Option<u64>,
    pub(crate) body: Value,
}

impl Answer {
    fn new(answer: &support::Answer) -> Self {
        let header = |name: &str| {
            let value = answer.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Self {
            status: answer.status().as_u16(),
            ran: header("camphorweir-ran").unwrap_or("none".to_owned()),
            code: header("camphorweir-code").map(|code| code.parse().unwrap()),
            replayed: header("camphorweir-replayed").is_some(),
            retry_after: header("retry-after").map(|wait| wait.parse().unwrap()),
            body: serde_json::from_slice(answer.body()).unwrap_or(Value::Null),
        }
    }

    /// The run of a plain service, by its own number and path.
    pub(crate) fn run(&self) -> (u64, String) {
        assert_eq!((self.status, self.ran.as_str()), (200, "yes"), "{self:?}");
        let path = self.body["path"].as_str().unwrap().to_owned();
        (self.body["run"].as_u64().unwrap(), path)
    }

    /// Checks a numbered refusal of a request that did not run.
    pub(crate) fn refused(&self, code: u16) {
        assert_eq!(
            (self.code, self.ran.as_str()),
            (Some(code), "no"),
            "{self:?}"
        );
        let error = &self.body["error"];
        assert_eq!(error["code"], code, "{self:?}");
        assert_eq!(error["ran"], "no", "{self:?}");
    }
}

/// Who sends requests to one entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller(pub(crate) SocketAddr);

impl Caller {
    /// Sends a request with a workspace's key; `None` when the connection broke.
    pub(crate) async fn send(
        self,
        method: &str,
        path: &str,
        key: Option<Uuid>,
        body: &Value,
    ) -> Option<Answer> {
        let bearer = format!("Bearer {}", fleet::KEY);
        let key = key.map(|key| key.to_string());
        let mut headers = vec![("authorization", bearer.as_str())];
        headers.extend(key.as_ref().map(|key| ("idempotency-key", key.as_str())));
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let sent = support::send(method, self.0, path, &headers, body.as_bytes());
        let answer = timeout(GUARD, sent).await.expect("no answer");
        answer.as_ref().map(Answer::new)
    }

    /// A chat, whole.
    pub(crate) async fn chat(self, text: &str, n: u32) -> Answer {
        let body = json!({
            "model": "burn-notes",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": n,
        });
        let sent = self.send("POST", "/v1/chat/completions", None, &body).await;
        sent.expect("the connection broke")
    }

    /// A chat whose every token is checked.
    pub(crate) async fn right_chat(self, text: &str, n: u32) {
        let answer = self.chat(text, n).await;
        assert_eq!(
            (answer.status, answer.ran.as_str()),
            (200, "yes"),
            "{answer:?}"
        );
        let prompt = format!("user: {text}\nassistant:");
        let tokens = &answer.body["choices"][0]["token_ids"];
        assert_eq!(*tokens, json!(expected(&prompt, n)));
        assert_eq!(answer.body["usage"]["completion_tokens"], n);
    }

    /// The status of a batch.
    pub(crate) async fn status(self, batch: u32) -> Answer {
        let path = format!("/services/status/batches/{batch}");
        let sent = self.send("GET", &path, None, &Value::Null).await;
        sent.expect("the connection broke")
    }

    /// The status of a batch, checked.
    pub(crate) async fn right_status(self, batch: u32) {
        let (_, path) = self.status(batch).await.run();
        assert_eq!(path, format!("/batches/{batch}"));
    }

    /// Seals a batch.
    pub(crate) async fn seal(self, key: Uuid, batch: u32) -> Option<Answer> {
        let path = format!("/services/seal/batches/{batch}/seal");
        let body = json!({"batch": batch});
        self.send("POST", &path, Some(key), &body).await
    }

    /// A completion as it grows.
    pub(crate) async fn stream(self, prompt: &str, n: u32) -> Stream {
        let opened = Stream::open(self.0, prompt, n);
        timeout(GUARD, opened).await.expect("no answer")
    }

    /// A completion as it grows, whose every token is checked.
    pub(crate) async fn right_stream(self, prompt: &str, n: u32) {
        self.stream(prompt, n).await.finish().await;
    }

    /// What the balancer's check says; `None` once nothing listens.
    pub(crate) async fn ready(self) -> Option<bool> {
        let answer = support::send("GET", self.0, "/readyz", &[], b"").await;
        answer.map(|answer| answer.status() == 200)
    }
}

/// The tokens that the model answers to a text.
pub(crate) fn expected(prompt: &str, n: u32) -> Vec<Token> {
    let prompt: Vec<Token> = prompt.bytes().map(Token::from).collect();
    reference_model::expected(fleet::MODEL, fleet::LAYERS, &prompt, n as usize)
}

/// A streamed completion.
pub(crate) struct Stream {
    pub(crate) request: u64,
    prompt: String,
    n: u32,
    body: Incoming,
    text: String,
    tokens: Vec<Token>,
    last: Option<Value>,
    done: bool,
}

impl Stream {
    async fn open(address: SocketAddr, prompt: &str, n: u32) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let body = json!({
            "model": "burn-notes", "prompt": prompt, "max_tokens": n, "stream": true,
        });
        let request = Request::post(format!("http://{address}/v1/completions"))
            .header("authorization", format!("Bearer {}", fleet::KEY))
            .body(Full::new(Bytes::from(body.to_string())));
        let answer = client.request(request.unwrap()).await.unwrap();
        let (head, body) = answer.into_parts();
        if head.status != 200 {
            let body = body.collect().await.unwrap().to_bytes();
            panic!("{head:?} {}", String::from_utf8_lossy(&body));
        }
        let request = head.headers["camphorweir-request"].to_str().unwrap();
        Self {
            request: u64::from_str_radix(request, 16).unwrap(),
            prompt: prompt.to_owned(),
            n,
            body,
            text: String::new(),
            tokens: Vec::new(),
            last: None,
            done: false,
        }
    }

    /// Takes one more part in; false at the end.
    async fn more(&mut self) -> bool {
        let frame = timeout(GUARD, self.body.frame()).await;
        let Some(frame) = frame.expect("the stream stands still") else {
            return false;
        };
        let data = frame.expect("the stream is cut").into_data().unwrap();
        self.text.push_str(str::from_utf8(&data).unwrap());
        while let Some(end) = self.text.find("\n\n") {
            let event: String = self.text.drain(..end + 2).collect();
            self.event(event.trim_end());
        }
        true
    }

    fn event(&mut self, event: &str) {
        let data = event.strip_prefix("data: ");
        let data = data.unwrap_or_else(|| panic!("after {}: {event}", self.tokens.len()));
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let part: Value = serde_json::from_str(data).unwrap();
        let tokens = part["choices"][0]["token_ids"].as_array().unwrap();
        let tokens = tokens.iter().map(|token| token.as_u64().unwrap() as Token);
        self.tokens.extend(tokens);
        self.last = Some(part);
    }

    /// Reads until so many tokens have come.
    pub(crate) async fn reach(&mut self, count: usize) {
        while self.tokens.len() < count {
            assert!(self.more().await, "ended after {}", self.tokens.len());
        }
    }

    /// Reads on until nothing more comes, and says whether the answer looks whole.
    pub(crate) async fn ends_whole(mut self) -> bool {
        let read = async {
            while let Some(Ok(frame)) = self.body.frame().await {
                let data = frame.into_data().unwrap();
                self.text.push_str(str::from_utf8(&data).unwrap());
            }
        };
        timeout(GUARD, read).await.expect("the stream stands still");
        self.done || self.text.contains("[DONE]")
    }

    /// Reads to the end and checks that the answer is whole and right.
    pub(crate) async fn finish(mut self) {
        while self.more().await {}
        assert!(self.done, "cut after {} of {}", self.tokens.len(), self.n);
        let last = self.last.unwrap();
        assert_eq!(last["ran"], "yes");
        assert_eq!(last["usage"]["completion_tokens"], self.n);
        assert_eq!(self.tokens, expected(&self.prompt, self.n));
    }
}
