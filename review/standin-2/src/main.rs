//! Stand-ins and drivers of the cases 6 to 10.

mod cases;
mod http;
mod store;
mod target;
mod world;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (name, record) = (arguments.next(), arguments.next());
    let (Some(name), Some(record)) = (name, record) else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        std::process::exit(2);
    };
    match name.as_str() {
        "slow-readers" => cases::slow_readers::run(&record),
        "many-routes" => cases::many_routes::run(&record),
        "pipelined-break" => cases::pipelined_break::run(&record),
        "pipelined-stop" => cases::pipelined_stop::run(&record),
        "unread-answers" => cases::unread_answers::run(&record),
        "banned-page" => cases::banned_page::run(&record),
        "second-refusal" => cases::second_refusal::run(&record),
        _ => {
            eprintln!("no case {name}");
            std::process::exit(2);
        }
    }
}
