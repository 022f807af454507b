import { createTRPCClient, httpLink, TRPCClient } from "@trpc/client";
import { createTrpcFetch, EntryAdminRouter, formatTrpcUrl } from "../../control/index.js";
import { Http, parseAddress } from "../../ports/index.js";
import { CliError } from "../cliError/index.js";
import { OperatorApi } from "../operatorApi/index.js";

/** One entry's procedures. */
export type EntryClient = TRPCClient<EntryAdminRouter>;

/** What an entry answered. */
export interface EntryAnswer<Answer> {
    readonly host: string;
    readonly answer: Answer;
}

interface Entry {
    readonly host: string;
    readonly client: EntryClient;
}

const ANSWER_MS = 5_000;

/**
 * Asks entries, at the addresses that the holder knows.
 *
 * @example
 * const answers = await entries.askAll(client => client.queues.query());
 */
export class EntryApi {
    constructor(private readonly operatorApi: OperatorApi, private readonly http: Http) {}

    /**
     * Asks each entry.
     *
     * @returns The answers of those that gave one.
     * @throws CliError when none did.
     */
    async askAll<Answer>(question: (client: EntryClient) => Promise<Answer>): Promise<readonly EntryAnswer<Answer>[]> {
        const entries = await this.listEntries();
        const settled = await Promise.allSettled(
            entries.map(async ({ host, client }) => ({ host, answer: await question(client) })),
        );
        const answers = settled.flatMap(result => result.status === "fulfilled" ? [result.value] : []);
        if (answers.length > 0) return answers;
        const failure = settled.find(result => result.status === "rejected");
        throw new CliError(failure ? (failure.reason as Error).message : "the holder knows no live entry");
    }

    /** Asks one entry. */
    async askOne<Answer>(host: string, question: (client: EntryClient) => Promise<Answer>): Promise<Answer> {
        const entry = (await this.listEntries()).find(each => each.host === host);
        if (!entry) throw new CliError(`no live entry runs on host ${host}`);
        return question(entry.client).catch((err: Error) => {
            throw new CliError(`${host}: ${err.message}`);
        });
    }

    private async listEntries(): Promise<readonly Entry[]> {
        const hosts = await this.operatorApi.ask(client => client.hosts.query());
        const fetch = createTrpcFetch(this.http, ANSWER_MS);
        return hosts.flatMap(({ host, adminAddress }) => {
            const address = adminAddress === undefined ? undefined : parseAddress(adminAddress);
            if (!address) return [];
            const links = [httpLink({ url: formatTrpcUrl(address), fetch })];
            return [{ host, client: createTRPCClient<EntryAdminRouter>({ links }) }];
        });
    }
}
