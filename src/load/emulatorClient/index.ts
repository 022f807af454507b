import { CONTROL_PATHS, ControlAction, Runs, runsSchema } from "../../emulator/index.js";
import { Address, formatAddress, Http, HttpReply } from "../../ports/index.js";
import { parseOrUndefined } from "../_lib/readError.js";
import { readText } from "../_lib/sendCall.js";

/** An emulator that gave no answer, or not the one asked for. */
export class EmulatorError extends Error {}

const TIMEOUT_MS = 5_000;

/**
 * Asks and steers a running emulator over its control port.
 *
 * @example
 * const emulator = new EmulatorClient(http, { host: "127.0.0.1", port: 7300 });
 * await emulator.apply({ action: "crash", upstream: "draft-vogar-4" });
 */
export class EmulatorClient {
    /**
     * @param http - How to reach it.
     * @param address - Its control port.
     */
    constructor(private readonly http: Http, private readonly address: Address) {}

    /**
     * Asks what ran.
     *
     * @throws EmulatorError
     */
    async fetchRuns(): Promise<Runs> {
        const reply = await this.send("GET", CONTROL_PATHS.runs);
        const parsed = runsSchema.safeParse(parseOrUndefined(await readText(reply) ?? ""));
        if (!parsed.success) throw new EmulatorError(`${formatAddress(this.address)} gave no list of runs`);
        return parsed.data;
    }

    /**
     * Does one thing to the stand-ins.
     *
     * @throws EmulatorError
     */
    async apply(action: ControlAction): Promise<void> {
        const reply = await this.send("POST", CONTROL_PATHS.do, Buffer.from(JSON.stringify(action)));
        const text = await readText(reply) ?? "";
        if (reply.status >= 400) throw new EmulatorError(`${action.action}: ${text}`);
    }

    private async send(method: string, path: string, body?: Uint8Array): Promise<HttpReply> {
        const sent = await this.http.send({
            address: this.address,
            method,
            path,
            headers: [["host", formatAddress(this.address)], ["content-length", String(body?.length ?? 0)]],
            body,
            fresh: true,
            connectTimeoutMs: TIMEOUT_MS,
            headTimeoutMs: TIMEOUT_MS,
        });
        return sent.caseOf({
            Left: err => {
                throw new EmulatorError(err.message);
            },
            Right: reply => reply,
        });
    }
}
