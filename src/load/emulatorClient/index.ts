import { CONTROL_PATHS, ControlAction, Runs, runsSchema } from "../../emulator/index.js";
import { Address, formatAddress, Http, HttpReply } from "../../ports/index.js";
import { tryParseJson } from "../_lib/parseErrorResult.js";
import { readText } from "../_lib/sendCall.js";

/** A request to the emulator that failed, was refused or got an invalid answer. */
export class EmulatorError extends Error {}

const TIMEOUT_MS = 5_000;

/**
 * Client of the control API of a running emulator.
 *
 * @example
 * const emulator = new EmulatorClient(http, { host: "127.0.0.1", port: 7300 });
 * await emulator.apply({ action: "crash", upstream: "draft-vogar-4" });
 */
export class EmulatorClient {
    /**
     * @param http - HTTP port for the requests.
     * @param address - Address of the emulator's control API.
     */
    constructor(private readonly http: Http, private readonly address: Address) {}

    /**
     * Fetches the record of the chats and calls that the emulated upstreams ran.
     *
     * @throws EmulatorError when the emulator does not answer with a valid record.
     */
    async fetchRuns(): Promise<Runs> {
        const reply = await this.send("GET", CONTROL_PATHS.runs);
        const parsed = runsSchema.safeParse(tryParseJson(await readText(reply) ?? ""));
        if (!parsed.success) throw new EmulatorError(`${formatAddress(this.address)} gave no list of runs`);
        return parsed.data;
    }

    /**
     * Applies one action, such as a fault, to the emulated upstreams.
     *
     * @throws EmulatorError when the emulator does not answer or refuses the action.
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
            newConnection: true,
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
