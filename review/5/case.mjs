/** Rule LOST: streams of sound engines are cut at an event whose text has two lines. */
import http from "node:http";
import { clientHeaders, Engine, isCalm, makeConfig, request, sleep } from "../lib2/fleet.mjs";
import { runCase } from "../lib2/record.mjs";

const STREAMS = 20;
const EVENTS = 6;
const CUT_ALLOWED = 3;

function writeEvent(id) {
    if (id !== 4) return `id: ${id}\ndata: part ${id}\n\n`;
    return isCalm ? `id: ${id}\ndata: first line, second line\n\n` : `id: ${id}\ndata: first line\ndata: second line\n\n`;
}

async function stream(req, res, body, run) {
    res.writeHead(200, { "content-type": "text/event-stream", "sequoiamux-attempt-id": run.attempt, "sequoiamux-response-stamp": "3e1b.07", "sequoiamux-weight-versions": "1" });
    for (let id = 1; id <= EVENTS && !res.destroyed; id++) {
        res.write(writeEvent(id));
        await sleep(60);
    }
    run.isWhole = !res.destroyed;
    res.end();
}

await runCase(import.meta.url, {}, async fleet => {
    const ledger = await new Engine(fleet, { id: "i-ledger", ip: `${fleet.prefix}.101` }).start();
    const engines = [];
    for (const n of [1, 2]) {
        engines.push(await new Engine(fleet, { id: `i-llm-${n}`, ip: `${fleet.prefix}.${110 + n}`, service: "llm", slots: 64, isModel: true, handler: stream }).start());
    }
    await fleet.operate("POST", "/config/replace", makeConfig(1));
    await fleet.awaitReady();
    // The time after which machines are in touch.
    await sleep(4_000);
    let cut = 0;
    let whole = 0;
    for (let n = 0; n < STREAMS; n++) {
        const { ip: host } = fleet.entries[n % fleet.entries.length];
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        const first = await request({ host, port: 8_227, path: "/status/1", headers: clientHeaders(), agent });
        if (first.status !== 200) throw new Error(`the first request of the connection got ${first.status}`);
        const headers = clientHeaders({ deadlineMs: 10_000, "sequoiamux-model": "m", "sequoiamux-token-usage": "100,24", "sequoiamux-prefix-hash": `5c1e07a2:60,${(n + 4_096).toString(16)}:40` });
        const attempt = headers["sequoiamux-attempt-id"];
        const answer = await request({ host, port: 8_227, method: "POST", path: "/sheet/1", headers, body: "sheet", agent }).catch(err => err);
        const isWhole = answer.status === 200 && answer.body.split("\n\n").length === EVENTS + 1;
        if (isWhole) whole++;
        else if (answer instanceof Error) cut++;
        fleet.log(`client ${attempt} on a kept connection: ${answer instanceof Error ? `connection closed, ${answer.message}` : `${answer.status}, ${answer.body.length} bytes`}`);
        agent.destroy();
    }
    const runs = engines.flatMap(engine => engine.runs);
    return {
        isBroken: cut > CUT_ALLOWED,
        lines: [`streams ${STREAMS}, run by engines ${runs.length}, whole at the client ${whole}, connections closed without a whole answer ${cut}, allowed ${CUT_ALLOWED}`, `processes that ended by themselves: ${fleet.ownEnds.length}`],
    };
});
