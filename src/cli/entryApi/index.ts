import { createTRPCClient, httpLink, TRPCClient } from "@trpc/client";
import { createTrpcFetch, EntryAdminRouter, formatTrpcUrl } from "../../control/index.js";
import { Http, parseAddress } from "../../ports/index.js";
import { CliError } from "../cliError/index.js";
import { OperatorApi } from "../operatorApi/index.js";

/** tRPC client for the admin procedures of one entry. */
export type EntryClient = TRPCClient<EntryAdminRouter>;

/** Answer of one entry. */
export interface EntryAnswer<Answer> {
    readonly host: string;
    readonly answer: Answer;
}

interface LiveEntry {
    readonly host: string;
    readonly client: EntryClient;
}

const CALL_TIMEOUT_MS = 5_000;

/**
 * Calls the admin procedures of entries, at the addresses that the holder lists.
 *
 * @example
 * const answers = await entries.callAll(client => client.queues.query());
 */
export class EntryApi {
    constructor(private readonly operatorApi: OperatorApi, private readonly http: Http) {}

    /**
     * Calls a procedure on each entry.
     *
     * @returns The answers of the entries that answered.
     * @throws CliError when no entry answered.
     */
    async callAll<Answer>(
        procedure: (client: EntryClient) => Promise<Answer>,
    ): Promise<readonly EntryAnswer<Answer>[]> {
        const entries = await this.listEntries();
        const settled = await Promise.allSettled(
            entries.map(async ({ host, client }) => ({ host, answer: await procedure(client) })),
        );
        const answers = settled.flatMap(result => result.status === "fulfilled" ? [result.value] : []);
        if (answers.length > 0) return answers;
        const failure = settled.find(result => result.status === "rejected");
        throw new CliError(failure ? (failure.reason as Error).message : "the holder knows no live entry");
    }

    /**
     * Calls a procedure on the entry of one host.
     *
     * @throws CliError when the host has no live entry or the call fails.
     */
    async callOne<Answer>(host: string, procedure: (client: EntryClient) => Promise<Answer>): Promise<Answer> {
        const entry = (await this.listEntries()).find(each => each.host === host);
        if (!entry) throw new CliError(`no live entry runs on host ${host}`);
        return procedure(entry.client).catch((err: Error) => {
            throw new CliError(`${host}: ${err.message}`);
        });
    }

    private async listEntries(): Promise<readonly LiveEntry[]> {
        const hosts = await this.operatorApi.call(client => client.hosts.query());
        const fetch = createTrpcFetch(this.http, CALL_TIMEOUT_MS);
        return hosts.flatMap(({ host, adminAddress }) => {
            const address = adminAddress === undefined ? undefined : parseAddress(adminAddress);
            if (!address) return [];
            const links = [httpLink({ url: formatTrpcUrl(address), fetch })];
            return [{ host, client: createTRPCClient<EntryAdminRouter>({ links }) }];
        });
    }
}
