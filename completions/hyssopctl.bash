# bash completion for hyssopctl. Source this file or install it as
# /usr/share/bash-completion/completions/hyssopctl.

_hyssopctl() {
    local current previous group='' command='' word index
    current=${COMP_WORDS[COMP_CWORD]}
    previous=${COMP_WORDS[COMP_CWORD - 1]}
    COMPREPLY=()

    case $previous in
    --output)
        mapfile -t COMPREPLY < <(compgen -W 'table json' -- "$current")
        return
        ;;
    --address | --operator | --timeout | --domain | --base | --change-id | --customer | --team | --task | --cores | \
        --memory | --accelerators | --slots | --run-time | --maximum-failures | --job-id | --maximum)
        return
        ;;
    --prefix)
        mapfile -t COMPREPLY < <(compgen -W 'contract/ domain/' -- "$current")
        return
        ;;
    esac

    # The first two words that are neither options nor their values are the command.
    for ((index = 1; index < COMP_CWORD; index++)); do
        word=${COMP_WORDS[index]}
        case $word in
        --urgent | --no-checkpoint | --help) ;;
        --*=*) ;;
        --*) ((index++)) ;;
        *)
            if [[ -z $group ]]; then
                group=$word
            elif [[ -z $command ]]; then
                command=$word
            fi
            ;;
        esac
    done

    local options='--address --output --operator --timeout --domain --help'
    case "$group $command" in
    'contract apply' | 'domain out' | 'domain in') options+=' --base --change-id' ;;
    'contract history') options+=' --maximum' ;;
    'job submit')
        options+=' --customer --team --task --cores --memory --accelerators --slots --run-time --maximum-failures'
        options+=' --urgent --no-checkpoint --job-id'
        ;;
    'job list') options+=' --customer --maximum' ;;
    'audit '*) options+=' --prefix --maximum' ;;
    esac

    if [[ $current == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
        return
    fi
    case "$group $command" in
    ' ') mapfile -t COMPREPLY < <(compgen -W 'contract domain job target explain audit status' -- "$current") ;;
    'contract ') mapfile -t COMPREPLY < <(compgen -W 'apply get list diff history' -- "$current") ;;
    'domain ') mapfile -t COMPREPLY < <(compgen -W 'out in status' -- "$current") ;;
    'job ') mapfile -t COMPREPLY < <(compgen -W 'submit status cancel list' -- "$current") ;;
    'target ') mapfile -t COMPREPLY < <(compgen -W 'list' -- "$current") ;;
    'contract apply' | 'contract diff') mapfile -t COMPREPLY < <(compgen -f -- "$current") ;;
    esac
}

complete -F _hyssopctl hyssopctl
