# Completion of lavenderpass in bash.

_lavenderpass()
{
	local cur=${COMP_WORDS[COMP_CWORD]}
	local prev=${COMP_WORDS[COMP_CWORD-1]}
	local command=${COMP_WORDS[1]}
	local common='--server --token-file --json --timeout --help'
	local words=''

	case $prev in
	--settings | --token-file)
		mapfile -t COMPREPLY < <(compgen -f -- "$cur")
		return
		;;
	--state)
		words='queued placed running checkpointing done failed cancelled rejected'
		mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
		return
		;;
	--server | --timeout | --param | --author | --note | --op-id | --expected-revision | \
		--organisation | --pool | --reason)
		return
		;;
	esac
	if [ "$COMP_CWORD" = 1 ]; then
		words='serve edge core init config template status explain vms pools waves jobs --help'
		mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
		return
	fi
	case "$command${COMP_WORDS[2]:+ }${COMP_WORDS[2]}" in
	serve*) words='--settings' ;;
	init*) words='--settings --first' ;;
	'template apply'*)
		words="$common --param --author --note --op-id --expected-revision"
		;;
	'template check'* | 'template plan'*) words="$common --param" ;;
	'template history'* | status*) words=$common ;;
	explain*) words="$common vm pool wave job request" ;;
	vms*) words="$common --organisation --pool" ;;
	pools* | waves*) words="$common --organisation" ;;
	'jobs list'*) words="$common --organisation --pool --state" ;;
	'jobs submit'*) words="$common job= organisation= pool= team= kind= cores= mem_mib= accelerators= run_time_ms= urgent= repeatable=" ;;
	'jobs cancel'*) words="$common --reason" ;;
	esac
	if [ "$COMP_CWORD" = 2 ]; then
		case $command in
		config) words='check' ;;
		template) words='check plan apply history' ;;
		jobs) words='list submit cancel' ;;
		esac
	fi
	mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
	case "$command ${COMP_WORDS[2]}" in
	'config check' | 'template '* | 'jobs submit')
		[ "$COMP_CWORD" -gt 2 ] && mapfile -t -O "${#COMPREPLY[@]}" COMPREPLY < <(compgen -f -- "$cur")
		;;
	esac
	return 0
}

complete -o filenames -F _lavenderpass lavenderpass
