//! Compatibility of an entry host with a client library of OpenAI's API.

use std::time::Duration;

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::BatchCompletionWindow;
use async_openai::types::BatchEndpoint;
use async_openai::types::BatchRequest;
use async_openai::types::BatchStatus;
use async_openai::types::ChatCompletionRequestUserMessageArgs;
use async_openai::types::CreateChatCompletionRequest;
use async_openai::types::CreateChatCompletionRequestArgs;
use async_openai::types::CreateFileRequest;
use async_openai::types::FileInput;
use async_openai::types::FilePurpose;
use futures_util::StreamExt;
use parsleywall::edges::engine::Endpoint;
use parsleywall_standins::engine::expected_answer;
use parsleywall_standins::fleet::StandinFleet;
use parsleywall_standins::terms::MEMBER_KEY;
use serde_json::Value;
use serde_json::json;

const ANSWER_TOKENS: u32 = 8;
const JOB_ITEMS: usize = 50;
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_JOB_POLLS: u32 = 600;

struct ClientSetup {
    _fleet: StandinFleet,
    client: Client<OpenAIConfig>,
}

async fn start() -> ClientSetup {
    let fleet = StandinFleet::start(1, |_| {}).await.unwrap();
    let config = OpenAIConfig::new()
        .with_api_base(format!("http://{}/v1", fleet.hosts[0].address()))
        .with_api_key(MEMBER_KEY);
    ClientSetup {
        _fleet: fleet,
        client: Client::with_config(config),
    }
}

fn chat_request(text: &str) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content(text)
        .build()
        .unwrap();
    CreateChatCompletionRequestArgs::default()
        .model("demo")
        .max_completion_tokens(ANSWER_TOKENS)
        .messages([message.into()])
        .build()
        .unwrap()
}

fn expected(request: &CreateChatCompletionRequest) -> String {
    let body = serde_json::to_value(request).unwrap();
    expected_answer(&body, Endpoint::Chat, u64::from(ANSWER_TOKENS))
}

#[tokio::test]
async fn test_openai_client_chat() {
    let setup = start().await;
    let request = chat_request("Can this oak carry a deck?");
    let answer = setup.client.chat().create(request.clone()).await.unwrap();
    let content = answer.choices[0].message.content.as_deref();
    assert_eq!(content, Some(expected(&request).as_str()));
    assert_eq!(answer.usage.unwrap().completion_tokens, ANSWER_TOKENS);
}

#[tokio::test]
async fn test_openai_client_stream() {
    let setup = start().await;
    let request = chat_request("How many bolts?");
    let mut stream = setup
        .client
        .chat()
        .create_stream(request.clone())
        .await
        .unwrap();
    let mut text = String::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.unwrap();
        for choice in chunk.choices {
            text.push_str(choice.delta.content.as_deref().unwrap_or_default());
        }
    }
    assert_eq!(text, expected(&request));
}

#[tokio::test]
async fn test_openai_client_models() {
    let setup = start().await;
    let models = setup.client.models().list().await.unwrap();
    let ids: Vec<&str> = models.data.iter().map(|model| model.id.as_str()).collect();
    assert_eq!(ids, ["demo"]);
}

#[tokio::test]
async fn test_openai_client_batch() {
    let setup = start().await;
    let requests: Vec<_> = (0..JOB_ITEMS)
        .map(|number| chat_request(&format!("Entry {number}")))
        .collect();
    let lines: String = requests.iter().enumerate().map(item_line).collect();
    let upload = CreateFileRequest {
        file: FileInput::from_vec_u8("items.jsonl".to_owned(), lines.into_bytes()),
        purpose: FilePurpose::Batch,
        expires_after: None,
    };
    let file = setup.client.files().create(upload).await.unwrap();
    let request = BatchRequest {
        input_file_id: file.id,
        endpoint: BatchEndpoint::V1ChatCompletions,
        completion_window: BatchCompletionWindow::W24H,
        metadata: None,
    };
    let mut job = setup.client.batches().create(request).await.unwrap();
    for _ in 0..MAX_JOB_POLLS {
        if job.status == BatchStatus::Completed {
            break;
        }
        tokio::time::sleep(JOB_POLL_INTERVAL).await;
        job = setup.client.batches().retrieve(&job.id).await.unwrap();
    }
    assert_eq!(job.status, BatchStatus::Completed);
    let output = job.output_file_id.unwrap();
    let content = setup.client.files().content(&output).await.unwrap();
    let lines: Vec<Value> = String::from_utf8(content.to_vec())
        .unwrap()
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(lines.len(), JOB_ITEMS);
    for (number, line) in lines.iter().enumerate() {
        assert_eq!(line["custom_id"], format!("entry-{number}"));
        let answer = &line["response"]["body"]["choices"][0]["message"]["content"];
        assert_eq!(*answer, expected(&requests[number]));
    }
}

fn item_line((number, request): (usize, &CreateChatCompletionRequest)) -> String {
    let item = json!({
        "custom_id": format!("entry-{number}"),
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": request,
    });
    format!("{item}\n")
}
