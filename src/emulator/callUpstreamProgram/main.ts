/** A program that emulates one upstream of routed calls over TCP, and announces it to control processes. */
import { cac } from "cac";
import { Address, DEFAULT_HTTP_LIMITS, formatAddress, NodeHttp, parseAddress, SystemClock } from "../../ports/index.js";
import { ANNOUNCE_PATH } from "../../protocol/index.js";
import { drainBody, postJson } from "../_lib/json.js";
import { serveCallUpstreamControl } from "../callUpstreamControl/index.js";
import { EmulatedCallUpstream } from "../emulatedCallUpstream/index.js";

const ANNOUNCEMENT_INTERVAL_MS = 400;
const ANNOUNCEMENT_TIMEOUT_MS = 1_000;
const ANY_PORT = { host: "127.0.0.1", port: 0 };
const EXIT_USAGE = 2;

function parseFlags(): Record<string, string | number> {
    const cli = cac("call-upstream");
    cli.option("--id <id>", "Id of the upstream");
    cli.option("--address <address>", "IP:port at which it serves calls");
    cli.option("--pool <pool>", "Its pool");
    cli.option("--zone <zone>", "Its availability zone");
    cli.option("--slots <count>", "Number of calls that it runs at a time", { default: 64 });
    cli.option("--work-ms <ms>", "Time before an answer, in milliseconds", { default: 20 });
    cli.option("--events <count>", "Number of events of an answer; 0 for plain answers", { default: 0 });
    cli.option("--gap-ms <ms>", "Pause between two events, in milliseconds", { default: 20 });
    cli.option("--event-padding <bytes>", "Bytes added to each event", { default: 0 });
    cli.option(
        "--announce-to <addresses>",
        "IP:port of each control process's port for upstreams, separated by commas",
    );
    return cli.parse().options as Record<string, string | number>;
}

function readAddresses(text: string): Address[] {
    return text.split(",").flatMap(item => parseAddress(item) ?? []);
}

async function main(): Promise<void> {
    const flags = parseFlags();
    const clock = new SystemClock();
    const http = new NodeHttp();
    const [address] = readAddresses(String(flags.address));
    if (!address) throw new Error("--address IP:port is missing");
    const upstream = await EmulatedCallUpstream.start({
        clock,
        http,
        address,
        id: String(flags.id),
        pool: String(flags.pool),
        zone: String(flags.zone),
        slots: Number(flags.slots),
        workMs: Number(flags.workMs),
        events: Number(flags.events),
        gapMs: Number(flags.gapMs),
        eventPadding: Number(flags.eventPadding),
    });
    const control = await http.serve(ANY_PORT, DEFAULT_HTTP_LIMITS, serveCallUpstreamControl(clock, upstream));
    const controls = readAddresses(String(flags.announceTo));
    const announce = async (): Promise<void> => {
        const body = upstream.announce();
        for (const to of controls) {
            const reply = await postJson(http, to, ANNOUNCE_PATH, body, ANNOUNCEMENT_TIMEOUT_MS);
            await reply.caseOf({ Left: () => Promise.resolve(), Right: drainBody });
        }
        clock.after(ANNOUNCEMENT_INTERVAL_MS, () => void announce());
    };
    void announce();
    console.log(JSON.stringify({ event: "ready", control: formatAddress(control.address) }));
}

main().catch((err: unknown) => {
    console.error(`call-upstream: ${(err as Error).message}`);
    process.exit(EXIT_USAGE);
});
