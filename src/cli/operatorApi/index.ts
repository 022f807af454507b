import { createTRPCClient, httpLink, TRPCClient, TRPCClientError } from "@trpc/client";
import { ChangeAnswer, createTrpcFetch, formatTrpcUrl, OperatorRouter } from "../../control/index.js";
import { Address, Clock, Http, HttpError, parseAddress } from "../../ports/index.js";
import { ConfigChange } from "../../workspace/index.js";
import { CliError } from "../cliError/index.js";

/** tRPC client for the operator procedures of one control host. */
export type OperatorClient = TRPCClient<OperatorRouter>;

const TOTAL_TIMEOUT_MS = 15_000;
/** Longer than the time for which a control host waits until a change is in force. */
const CALL_TIMEOUT_MS = 9_000;
const RETRY_DELAY_MS = 250;

/** Options of `OperatorApi`. */
export interface OperatorApiOptions {
    readonly http: Http;
    readonly clock: Clock;
    /** Operator addresses of control hosts; at least one. */
    readonly controlAddresses: readonly Address[];
}

/** Whether to retry a failed call, and the holder's address if the error contains it. */
type NextStep = { readonly kind: "retry"; readonly holder?: Address; } | { readonly kind: "give-up"; };

/**
 * Calls the operator procedures of the control hosts. A call that reaches another host than the holder is retried at the
 * holder, and one without an answer at the next host. A change is resent under its change ID after a lost answer, so that it
 * is applied once and gets its first answer.
 *
 * @example
 * const orders = await api.call(client => client.orders.query());
 */
export class OperatorApi {
    private currentIndex = 0;
    private readonly addresses: Address[];

    constructor(private readonly options: OperatorApiOptions) {
        this.addresses = [...options.controlAddresses];
    }

    /**
     * Calls a procedure at the holder, with retries.
     *
     * @throws CliError with the holder's error message, or when no control host answers in time.
     */
    async call<Answer>(procedure: (client: OperatorClient) => Promise<Answer>): Promise<Answer> {
        const { clock } = this.options;
        const deadline = clock.monotonic() + TOTAL_TIMEOUT_MS;
        for (;;) {
            try {
                return await procedure(this.connect(this.addresses[this.currentIndex % this.addresses.length]));
            }
            catch (err) {
                const next = getNextStep(err);
                if (next.kind === "give-up" || clock.monotonic() >= deadline) throw toCliError(err);
                if (next.holder) this.switchTo(next.holder);
                else this.currentIndex++;
            }
            await clock.sleep(RETRY_DELAY_MS);
        }
    }

    /** Submits a configuration change. */
    change(change: ConfigChange): Promise<ChangeAnswer> {
        // The procedure's input type is inferred from the schema, which has no branded IDs.
        return this.call(client => client.change.mutate(change as never));
    }

    private connect(address: Address): OperatorClient {
        const fetch = createTrpcFetch(this.options.http, CALL_TIMEOUT_MS);
        return createTRPCClient<OperatorRouter>({ links: [httpLink({ url: formatTrpcUrl(address), fetch })] });
    }

    private switchTo(holder: Address): void {
        const known = this.addresses.findIndex(({ host, port }) => host === holder.host && port === holder.port);
        this.currentIndex = known >= 0 ? known : this.addresses.push(holder) - 1;
    }
}

function getNextStep(err: unknown): NextStep {
    if (!(err instanceof TRPCClientError)) return { kind: "give-up" };
    if (err.cause instanceof HttpError) return { kind: "retry" };
    const data = err.data as { code?: string; holder?: string; } | undefined;
    if (data?.code === "TIMEOUT") return { kind: "retry" };
    if (data?.code !== "PRECONDITION_FAILED") return { kind: "give-up" };
    return { kind: "retry", holder: data.holder === undefined ? undefined : parseAddress(data.holder) };
}

function toCliError(err: unknown): CliError {
    if (!(err instanceof TRPCClientError)) return new CliError(String(err));
    if (err.cause instanceof HttpError) return new CliError(`no control host answers (${err.cause.message})`);
    return new CliError(shortenMessage(err.message));
}

/** Shortens a validation error of a procedure, which is a JSON list of issues, to the first issue. */
function shortenMessage(message: string): string {
    if (!message.startsWith("[")) return message;
    const [issue] = JSON.parse(message) as readonly { readonly path: readonly string[]; readonly message: string; }[];
    return `${issue.path.join(".")}: ${issue.message}`;
}
