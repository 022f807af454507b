import { createTRPCClient, httpLink, TRPCClient, TRPCClientError } from "@trpc/client";
import { ChangeAnswer, createTrpcFetch, formatTrpcUrl, OperatorRouter } from "../../control/index.js";
import { Address, Clock, Http, HttpError, parseAddress } from "../../ports/index.js";
import { ConfigChange } from "../../workspace/index.js";
import { CliError } from "../cliError/index.js";

/** One control host's procedures. */
export type OperatorClient = TRPCClient<OperatorRouter>;

const TOTAL_MS = 15_000;
/** Longer than a change waits to be in force. */
const ANSWER_MS = 9_000;
const RETRY_MS = 250;

/** What the API is made of. */
export interface OperatorApiOptions {
    readonly http: Http;
    readonly clock: Clock;
    readonly control: readonly Address[];
}

/** Where to ask next, or why it is of no use. */
type NextStep = { readonly kind: "retry"; readonly holder?: Address; } | { readonly kind: "give-up"; };

/**
 * Asks the control hosts: goes on to the holder when another answers, and to the next host when none does. A change is sent
 * again after a lost answer, under its change id, and so gets its first answer.
 *
 * @example
 * const orders = await api.ask(client => client.orders.query());
 */
export class OperatorApi {
    private at = 0;
    private readonly addresses: Address[];

    constructor(private readonly options: OperatorApiOptions) {
        this.addresses = [...options.control];
    }

    /** @throws CliError with what the holder said, or when no control host answers in time. */
    async ask<Answer>(question: (client: OperatorClient) => Promise<Answer>): Promise<Answer> {
        const { clock } = this.options;
        const deadline = clock.monotonic() + TOTAL_MS;
        for (;;) {
            try {
                return await question(this.connect(this.addresses[this.at % this.addresses.length]));
            }
            catch (err) {
                const next = judgeError(err);
                if (next.kind === "give-up" || clock.monotonic() >= deadline) throw describeError(err);
                if (next.holder) this.turnTo(next.holder);
                else this.at++;
            }
            await clock.sleep(RETRY_MS);
        }
    }

    /** Sends a change of the configuration. */
    change(change: ConfigChange): Promise<ChangeAnswer> {
        // The procedure's input is inferred from the schema, which knows nothing of branded ids.
        return this.ask(client => client.change.mutate(change as never));
    }

    private connect(address: Address): OperatorClient {
        const fetch = createTrpcFetch(this.options.http, ANSWER_MS);
        return createTRPCClient<OperatorRouter>({ links: [httpLink({ url: formatTrpcUrl(address), fetch })] });
    }

    private turnTo(holder: Address): void {
        const known = this.addresses.findIndex(({ host, port }) => host === holder.host && port === holder.port);
        this.at = known >= 0 ? known : this.addresses.push(holder) - 1;
    }
}

function judgeError(err: unknown): NextStep {
    if (!(err instanceof TRPCClientError)) return { kind: "give-up" };
    if (err.cause instanceof HttpError) return { kind: "retry" };
    const data = err.data as { code?: string; holder?: string; } | undefined;
    if (data?.code === "TIMEOUT") return { kind: "retry" };
    if (data?.code !== "PRECONDITION_FAILED") return { kind: "give-up" };
    return { kind: "retry", holder: data.holder === undefined ? undefined : parseAddress(data.holder) };
}

function describeError(err: unknown): CliError {
    if (!(err instanceof TRPCClientError)) return new CliError(String(err));
    if (err.cause instanceof HttpError) return new CliError(`no control host answers (${err.cause.message})`);
    return new CliError(describeMessage(err.message));
}

/** Input that a procedure refuses comes as a JSON list of issues; the first one says enough. */
function describeMessage(message: string): string {
    if (!message.startsWith("[")) return message;
    const [issue] = JSON.parse(message) as readonly { readonly path: readonly string[]; readonly message: string; }[];
    return `${issue.path.join(".")}: ${issue.message}`;
}
