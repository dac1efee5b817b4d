//! Drops a job into a queue and prints its answers: `submit HOST PORT USER PASSWORD QUEUE < job.json`.

use amqprs::BasicProperties;
use amqprs::channel::{BasicConsumeArguments, BasicPublishArguments, QueueDeclareArguments};
use amqprs::connection::{Connection, OpenConnectionArguments};

type Any = Box<dyn std::error::Error + Send + Sync>;

/// Submits `job` through `queue` and returns its final answer.
pub async fn submit(
    login: &OpenConnectionArguments,
    queue: &str,
    job: Vec<u8>,
) -> Result<String, Any> {
    let connection = Connection::open(login).await?;
    let channel = connection.open_channel(None).await?;
    channel
        .queue_declare(QueueDeclareArguments::durable_client_named("my.answers"))
        .await?;
    let consume = BasicConsumeArguments::new("my.answers", "me")
        .auto_ack(true)
        .finish();
    let (_, mut answers) = channel.basic_consume_rx(consume).await?;
    let mut asks = BasicProperties::default();
    // The same message_id is the same job, however often it is sent.
    asks.with_reply_to("my.answers")
        .with_correlation_id("1")
        .with_message_id("notice-1")
        .with_persistence(true);
    channel
        .basic_publish(asks, job, BasicPublishArguments::new("", queue))
        .await?;
    loop {
        let answer = answers
            .recv()
            .await
            .and_then(|a| a.content)
            .ok_or("the connection ended")?;
        let text = String::from_utf8(answer)?;
        if text.contains(r#""final":true"#) {
            return Ok(text);
        }
    }
}

#[allow(dead_code, reason = "a test submits, too")]
#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Any> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [host, port, user, password, queue] = args.as_slice() else {
        return Err("submit HOST PORT USER PASSWORD QUEUE < job.json".into());
    };
    let job = std::io::read_to_string(std::io::stdin())?;
    let login = OpenConnectionArguments::new(host, port.parse()?, user, password);
    println!("{}", submit(&login, queue, job.into_bytes()).await?);
    Ok(())
}
